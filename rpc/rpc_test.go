package rpc

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"celeryport/verdict"
)

// countingPeer starts a server that counts requests. On each connection it answers
// the first request, and reads the second and closes without an answer.
func countingPeer(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOne(conn, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func serveOne(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		if answered {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func TestClientsNeverRepeatACall(t *testing.T) {
	// An instance reads an order on a keep-alive connection, executes it and crashes
	// before it answers. net/http would retry the order by itself, on the instance
	// that took over the address, and the caller would learn of only one execution.
	address, requests := countingPeer(t)
	clients := NewClients("k", nil)
	defer clients.Close()
	post := func() error {
		request, err := http.NewRequest(http.MethodPost, "http://"+address, bytes.NewReader([]byte("order")))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "k")
		response, err := clients.Do(request)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	if err := post(); err != nil {
		t.Fatal(err)
	}
	if err := post(); err == nil {
		t.Fatal("no error although the second call got no answer")
	}
	if requests.Load() != 2 {
		t.Fatalf("the server received %d requests, want 2", requests.Load())
	}
}

// stubControl is a control server whose Operate returns a fixed error; all other calls succeed.
type stubControl struct{ err error }

func (stubControl) Consensus(context.Context, *ConsensusRequest) (*ConsensusResponse, error) {
	return &ConsensusResponse{}, nil
}

func (stubControl) Claim(context.Context, *ClaimRequest) (*ClaimResponse, error) {
	return &ClaimResponse{}, nil
}

func (stubControl) Sync(context.Context, *SyncRequest) (*SyncResponse, error) {
	return &SyncResponse{}, nil
}

func (stubControl) CopyLedger(context.Context, *LedgerRequest) (*LedgerResponse, error) {
	return &LedgerResponse{}, nil
}

func (s stubControl) Operate(context.Context, *OperateRequest) (*OperateResponse, error) {
	return &OperateResponse{}, s.err
}

func serveControl(t *testing.T, failure error) string {
	t.Helper()
	keys := Keys{Instance: "instance", Operators: []string{"first", "second", ""}}
	server := httptest.NewServer(Authenticate(keys, NewControlServer(stubControl{failure})))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestKeysGrantOnlyTheirRole(t *testing.T) {
	// An operator key leaks, or a caller guesses a key. Neither may allow its holder
	// to vote in place of a voter or to install settings on an instance.
	address := serveControl(t, nil)
	tests := map[string]struct{ operate, sync bool }{
		"instance": {true, true},
		"first":    {true, false},
		"second":   {true, false},
		"guess":    {false, false},
		"":         {false, false},
	}
	for key, want := range tests {
		clients := NewClients(key, nil)
		_, operateErr := clients.At(address).Operate(t.Context(), &OperateRequest{})
		_, syncErr := clients.At(address).Sync(t.Context(), &SyncRequest{})
		if (operateErr == nil) != want.operate || (syncErr == nil) != want.sync {
			t.Errorf("key %q: operate %v, sync %v", key, operateErr, syncErr)
		}
		if !want.operate && verdict.From(FromTwirp(operateErr)).Reason != verdict.ReasonUnauthorized {
			t.Errorf("key %q: rejected with %v, want ReasonUnauthorized", key, FromTwirp(operateErr))
		}
		clients.Close()
	}
}

func TestVerdictIsKeptAcrossACall(t *testing.T) {
	for _, sent := range []*verdict.Error{
		verdict.Refuse(verdict.ReasonNotLeader, 3*time.Second, "ask another"),
		verdict.New(verdict.MayHaveRun, verdict.ReasonNoQuorum, "no majority"),
	} {
		address := serveControl(t, ToTwirp(errors.Wrap(sent, "handler")))
		clients := NewClients("first", nil)
		_, err := clients.At(address).Operate(t.Context(), &OperateRequest{})
		got := verdict.From(FromTwirp(err))
		if got.Verdict != sent.Verdict || got.Reason != sent.Reason || got.RetryAfter != sent.RetryAfter {
			t.Errorf("sent %v, got %v", sent, got)
		}
		clients.Close()
	}
}

func TestVerdictsOfLostCalls(t *testing.T) {
	// If nothing listens at the address, the call was never sent. A peer that read
	// the request and closed the connection may have executed it. If the two cases
	// were confused, an order would be executed twice or dropped without having run.
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	clients := NewClients("k", nil)
	defer clients.Close()
	_, refused := clients.At(closed.Addr().String()).Operate(t.Context(), &OperateRequest{})
	if got := verdict.From(FromTwirp(refused)); got.Verdict != verdict.NotRun {
		t.Errorf("refused connection: got %v, want NotRun", got)
	}
	address, _ := countingPeer(t)
	_, _ = clients.At(address).Operate(t.Context(), &OperateRequest{})
	_, lost := clients.At(address).Operate(t.Context(), &OperateRequest{})
	if got := verdict.From(FromTwirp(lost)); got.Verdict != verdict.MayHaveRun {
		t.Errorf("lost answer: got %v, want MayHaveRun", got)
	}
	if FromTwirp(nil) != nil || FromTwirp(twirp.InternalError("x")) == nil {
		t.Error("nil must stay nil, and an error must stay an error")
	}
}
