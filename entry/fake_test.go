package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"celeryport/claim"
	"celeryport/clock"
	"celeryport/control"
	"celeryport/dispatch"
	"celeryport/ledger"
	"celeryport/membership"
	"celeryport/request"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

const (
	testConnections = 20

	testKey  = "key-of-the-tests"
	testTree = `
[organisation]
[organisation.bottega]
key_sha256 = `
	testTreeRest = `
retry_ratio = 1
[class]
deadline = 10s
[class.counter]
priority = 100
[class.audit]
deadline = 10m
[class.hold]
no_repeat = true
[length.short]
up_to = 16k
[length.long]
up_to = 2M
long = true
[model.sarto]
[service.cassa]
[fleet]
default_class = counter
body_limit = 8MB
keep_seconds = 1
`
)

// fakePlane is a control plane whose view and claims the test decides.
type fakePlane struct {
	mu      sync.Mutex
	view    control.View
	claims  func(key claim.Key) control.ClaimResult
	settled []claim.Outcome
	heard   []upstream.Announcement
	drained bool
}

func (p *fakePlane) View() *control.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.view
	return &view
}

func (p *fakePlane) Announce(a upstream.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = append(p.heard, a)
}

func (p *fakePlane) Claim(_ context.Context, key claim.Key, _ claim.Holder) control.ClaimResult {
	return p.claims(key)
}

func (p *fakePlane) Settle(_ claim.Key, _ claim.Holder, outcome claim.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = append(p.settled, outcome)
}

func (p *fakePlane) Drain(context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drained = true
	return nil
}

// counter is a Recorder that counts final answers.
type counter struct {
	mu                                sync.Mutex
	received, served, refused, failed int
}

func (c *counter) add(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

func (c *counter) Received(*request.Request)                                { c.add(&c.received) }
func (c *counter) Served(*request.Request, ledger.Served)                   { c.add(&c.served) }
func (c *counter) Refused(*request.Request, verdict.Reason)                 { c.add(&c.refused) }
func (c *counter) Failed(*request.Request, verdict.Reason, verdict.Verdict) { c.add(&c.failed) }

// bench is a server with upstreams and callers, all in memory.
type bench struct {
	t       testing.TB
	server  *Server
	plane   *fakePlane
	counts  *counter
	callers *fasthttputil.InmemoryListener
	serving chan error
	stopped bool // the test has shut the server down itself

	mu    sync.Mutex
	peers map[string]*fakeUpstream
}

// fakeUpstream answers connections by a script and counts generate and service
// calls and cancels.
type fakeUpstream struct {
	listener *fasthttputil.InmemoryListener
	script   func(conn net.Conn, r *fasthttp.Request)
	mu       sync.Mutex
	calls    []string // paths, cancels and holdings left out
	cancels  []wire.CancelRequest
	deaf     int            // so many cancels are read and not answered
	held     []wire.Holding // listed, less what was cancelled
}

// script answers one call on a connection.
type script = func(conn net.Conn, r *fasthttp.Request)

// newBench starts a server before the scripted upstreams: names that start with
// e are engines of sarto, the others upstreams of the service cassa.
func newBench(t testing.TB, upstreams map[string]script) *bench {
	t.Helper()
	return newBenchWith(t, upstreams, dispatch.New(dispatch.Config{}, rand.New(rand.NewPCG(1, 2))))
}

// newBenchWith is newBench with another dispatcher.
func newBenchWith(t testing.TB, upstreams map[string]script, dispatcher dispatch.Dispatcher) *bench {
	t.Helper()
	tree, err := settings.ParseTree("tree.ini", []byte(testTree+settings.HashKey(testKey)+testTreeRest))
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{
		t: t, counts: &counter{}, callers: fasthttputil.NewInmemoryListener(),
		serving: make(chan error, 1), peers: map[string]*fakeUpstream{},
	}
	b.plane = &fakePlane{claims: func(claim.Key) control.ClaimResult { return control.ClaimResult{State: control.Won} }}
	b.plane.view = control.View{
		Incarnation: 1,
		Tree:        tree, LeaseUntil: time.Now().Add(time.Hour), Upstreams: b.addUpstreams(upstreams),
		Instances: []membership.Instance{
			{Name: "a", Incarnation: 1, Address: "addr-a", AvailabilityZone: "z1"},
			{Name: "b", Incarnation: 1, Address: "addr-b", AvailabilityZone: "z2"},
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.server, err = New(Options{
		Process: &settings.Process{
			Name: "a", AvailabilityZone: "z1", Advertise: "addr-a", UpstreamKeys: []string{"up"},
			MaxConnections: testConnections, ReadTimeout: 5 * time.Second,
			Pools: settings.Pools{Short: 16, Long: 4, Service: 8},
		},
		Plane: b.plane, Recorder: b.counts, Log: log, Clock: clock.Real{},
		Dispatcher: dispatcher,
		Client:     client.New(b.dial, "", func() string { return OwnerOf("a", 1) }, client.DefaultTiming),
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { b.serving <- b.server.Serve(deadlineListener{b.callers}) }()
	return b
}

func (b *bench) addUpstreams(scripts map[string]script) *upstream.Snapshot {
	registry := upstream.NewRegistry(time.Hour)
	for name, s := range scripts {
		f := &fakeUpstream{listener: fasthttputil.NewInmemoryListener(), script: s}
		b.peers[name] = f
		go f.run()
		a := upstream.Announcement{
			Name: name, Incarnation: 1, Sequence: 1, Address: name, MemoryTokens: 2_000_000, Slots: 16,
			Kind: upstream.Engine, Targets: []string{"sarto"}, Load: upstream.Load{PrefillRate: 20_000},
		}
		if name[0] != 'e' {
			a.Kind, a.Targets = upstream.Service, []string{"cassa"}
		}
		registry.Hear(time.Now(), a)
	}
	return registry.Snapshot(time.Now())
}

func (b *bench) dial(_ context.Context, address string) (net.Conn, error) {
	b.mu.Lock()
	peer := b.peers[address]
	b.mu.Unlock()
	if peer == nil {
		return nil, io.ErrClosedPipe
	}
	return peer.listener.Dial()
}

// close ends everything and waits for it, so that a bubble can end.
func (b *bench) close() {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if !b.stopped {
		if err := b.server.Shutdown(ctx); err != nil {
			b.t.Errorf("shutdown: %v", err)
		}
	}
	b.closeUpstreams()
}

func (b *bench) closeUpstreams() {
	for _, p := range b.peers {
		_ = p.listener.Close()
	}
	<-b.serving
}

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

// cancel takes a cancel and reports whether it is answered.
func (f *fakeUpstream) cancel(c wire.CancelRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels = append(f.cancels, c)
	if f.deaf > 0 {
		f.deaf--
		return false
	}
	f.held = slices.DeleteFunc(f.held, func(h wire.Holding) bool {
		return h.Request == c.Request && h.Owner == c.Owner
	})
	return true
}

func (f *fakeUpstream) counted() (calls, cancels int) {
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

// call is one request of a caller.
type call struct {
	path    string
	headers map[string]string
	body    string
}

// reply is what the caller got.
type reply struct {
	status  int
	verdict string
	body    []byte
	header  http.Header
	took    time.Duration
}

func completion(prompt string, stream bool) call {
	body, err := json.Marshal(completionBody{Model: "sarto", Prompt: prompt, MaxTokens: 8, Stream: stream})
	if err != nil {
		panic(err)
	}
	return call{path: pathCompletions, body: string(body)}
}

// send opens a connection as a caller with the tests' key and sends a call.
func (b *bench) send(c call) (net.Conn, *http.Request) {
	b.t.Helper()
	conn, err := b.callers.Dial()
	if err != nil {
		b.t.Fatal(err)
	}
	method := http.MethodPost
	if c.body == "" && c.path == pathAddresses {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://entry"+c.path, bytes.NewBufferString(c.body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range c.headers {
		r.Header.Set(name, value)
	}
	if err := r.Write(conn); err != nil {
		b.t.Fatal(err)
	}
	return conn, r
}

// leaveAfterFirstText closes the caller's connection in the middle of a stream.
func (b *bench) leaveAfterFirstText(c call) {
	b.t.Helper()
	conn, r := b.send(c)
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := response.Body.Read(make([]byte, 1)); err != nil {
		b.t.Fatal(err)
	}
	_ = conn.Close()
}

// do sends a call and reads the whole answer.
func (b *bench) do(c call) reply {
	b.t.Helper()
	start := time.Now()
	conn, r := b.send(c)
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		b.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return reply{
		status: response.StatusCode, verdict: response.Header.Get(headerVerdict),
		body: body, header: response.Header, took: time.Since(start),
	}
}

func (b *bench) totalCalls() int {
	total := 0
	for _, p := range b.peers {
		calls, _ := p.counted()
		total += calls
	}
	return total
}

// checkCounts checks that every received request has one final answer.
func (b *bench) checkCounts() {
	b.t.Helper()
	c := b.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received != c.served+c.refused+c.failed {
		b.t.Errorf("received %d, served %d, refused %d, failed %d", c.received, c.served, c.refused, c.failed)
	}
}
