package entry

import (
	"bufio"
	"encoding/json"
	"net"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"celeryport/upstream/wire"
)

// fakeUpstream answers connections as its script says and counts the generate calls,
// service calls and cancels that it gets.
type fakeUpstream struct {
	listener          *fasthttputil.InmemoryListener
	script            func(conn net.Conn, r *fasthttp.Request)
	mu                sync.Mutex
	calls             []string // paths of the calls that the script answered
	cancels           []wire.CancelRequest
	unansweredCancels int            // number of cancels that are read but not answered
	held              []wire.Holding // reported by the holdings call; cancels remove entries
	full              bool           // refuses every reservation
	reserved          int            // reservations granted, renewals included
}

// script answers one call on a connection.
type script = func(conn net.Conn, r *fasthttp.Request)

func (f *fakeUpstream) run() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *fakeUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var r fasthttp.Request
	if r.Read(bufio.NewReader(conn)) != nil {
		return
	}
	switch path := string(r.URI().Path()); path {
	case wire.PathCancel:
		var c wire.CancelRequest
		_ = json.Unmarshal(r.Body(), &c)
		if f.cancel(c) {
			answerJSON(conn, wire.CancelResponse{Cancelled: 1})
		}
	case wire.PathReserve:
		var reserve wire.ReserveRequest
		_ = json.Unmarshal(r.Body(), &reserve)
		answerJSON(conn, wire.ReserveResponse{Granted: f.reserve(reserve)})
	case wire.PathHoldings:
		f.mu.Lock()
		held := append([]wire.Holding(nil), f.held...)
		f.mu.Unlock()
		answerJSON(conn, wire.Holdings{Incarnation: 1, Held: held})
	default:
		f.mu.Lock()
		f.calls = append(f.calls, path)
		f.mu.Unlock()
		f.script(conn, &r)
	}
}

// reserve reserves the memory of a part, unless the engine is full.
func (f *fakeUpstream) reserve(r wire.ReserveRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return false
	}
	if !slices.ContainsFunc(f.held, func(h wire.Holding) bool { return h.Request == r.Request }) {
		f.held = append(f.held, wire.Holding{Request: r.Request, Attempt: r.Attempt, Owner: r.Owner, Tokens: r.Tokens})
	}
	f.reserved++
	return true
}

// cancel records a cancel and reports whether to answer it.
func (f *fakeUpstream) cancel(c wire.CancelRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels = append(f.cancels, c)
	if f.unansweredCancels > 0 {
		f.unansweredCancels--
		return false
	}
	f.held = slices.DeleteFunc(f.held, func(h wire.Holding) bool {
		return h.Request == c.Request && h.Owner == c.Owner
	})
	return true
}

func (f *fakeUpstream) counts() (calls, cancels int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls), len(f.cancels)
}

func answerJSON(conn net.Conn, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	var response fasthttp.Response
	response.Header.SetContentType(contentTypeJSON)
	response.SetBody(body)
	w := bufio.NewWriter(conn)
	_ = response.Write(w)
	_ = w.Flush()
}
