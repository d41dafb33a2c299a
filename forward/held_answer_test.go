package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/delivery"
	"celeryport/httpwire"
	"celeryport/settings"
)

const bodySize = 1000 // of a call

// answerSlowCaller lets an upstream answer a call whose caller reads from the returned connection only.
func answerSlowCaller(t *testing.T, s *Server, n *node, head, body string) net.Conn {
	s.options.Dialect = genuineDialect{}
	s.options.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			_, _ = io.ReadAtLeast(far, make([]byte, 2*bodySize), bodySize+1)
			_, _ = fmt.Fprintf(far, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body) // what the caller gets is checked
		}()
		return near, nil
	}
	conn, caller := net.Pipe()
	r := &received{body: make([]byte, bodySize), held: s.bodies.Hold()}
	if !r.held.Grow(int64(len(r.body))) {
		t.Fatal("no memory for a body")
	}
	x := &exchange{
		server: s, writer: &delivery.Writer{Conn: conn}, call: &Call{}, body: r.body, dropBody: r.dropBody,
		service: &settings.ForwardedService{Name: "model"}, route: &settings.Route{Name: "r", MaxSends: 1},
		began: time.Now(), deadline: time.Now().Add(5 * time.Second),
	}
	x.next = &work{lead: n}
	s.fleet.mu.Lock()
	s.fleet.begin(time.Now(), x.next)
	s.fleet.mu.Unlock()
	go func() {
		x.sendAgain(t.Context(), nil)
		conn.Close()
	}()
	return caller
}

// Guards against upstreams that count as busy, and get fewer calls, while a caller reads an answer slowly that they gave
// long before.
func TestSlowCallerOfAWholeAnswerTakesNoPlaceAtItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newServerWithNode(t)
		body := strings.Repeat("x", 100_000)
		caller := answerSlowCaller(t, s, n, "200 OK", body)
		time.Sleep(time.Second)
		s.fleet.mu.Lock()
		streams, busy := n.load.Streams, len(n.busy)
		s.fleet.mu.Unlock()
		if streams != 0 || busy != 0 {
			t.Errorf("%d calls and %d connections at the upstream", streams, busy)
		}
		if got, err := io.ReadAll(caller); err != nil || !strings.HasSuffix(string(got), "\r\n\r\n"+body) {
			t.Errorf("the caller got %d bytes, %v", len(got), err)
		}
		if s.answers.Free() != New(s.options).answers.Free() {
			t.Error("the memory of the answer is not given back")
		}
	})
}

// Guards against calls that are refused for want of memory because others, whose upstreams have answered, read their
// answers slowly.
func TestSlowCallerOfAnAnswerKeepsNoMemoryForItsBody(t *testing.T) {
	for _, head := range []string{"200 OK", "404 Not Found"} {
		t.Run(head, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := newServerWithNode(t)
				before, body := s.bodies.Free(), strings.Repeat("x", 100_000)
				caller := answerSlowCaller(t, s, n, head, body)
				time.Sleep(time.Second)
				if free := s.bodies.Free(); free != before {
					t.Errorf("%d bytes are held", before-free)
				}
				if got, err := io.ReadAll(caller); err != nil || !strings.HasSuffix(string(got), "\r\n\r\n"+body) {
					t.Errorf("the caller got %d bytes, %v", len(got), err)
				}
			})
		})
	}
}

// Guards against answers that wait for memory which others hold although their callers have read most of what it was for.
func TestReadPartsOfAnAnswerHoldNoMemory(t *testing.T) {
	for _, head := range []string{"200 OK", "404 Not Found"} {
		t.Run(head, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 2 << 20
				s, n := newServerWithNode(t)
				before := s.answers.Free()
				caller := answerSlowCaller(t, s, n, head, strings.Repeat("x", size))
				time.Sleep(time.Second)
				if held := before - s.answers.Free(); held < size/2 {
					t.Errorf("%d bytes are held before anything is read", held)
				}
				if _, err := io.CopyN(io.Discard, caller, size*3/4); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if held := before - s.answers.Free(); held > size/2 {
					t.Errorf("%d bytes are held for the last quarter of an answer of %d", held, size)
				}
				if _, err := io.Copy(io.Discard, caller); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against connections between instances, and bodies of calls, that are held while a caller reads slowly what
// another instance has passed on completely.
func TestSlowCallerOfAnotherInstancesAnswerHoldsNothingOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServerWithNode(t)
		body := strings.Repeat("x", 100_000)
		conn, caller := net.Pipe()
		dropped := make(chan time.Time, 1)
		began := time.Now()
		x := &exchange{
			server: s, writer: &delivery.Writer{Conn: conn}, call: &Call{}, dropBody: func() { dropped <- time.Now() },
			service: &settings.ForwardedService{Name: "model"}, route: &settings.Route{Name: "r"}, began: began, deadline: began.Add(5 * time.Second),
		}
		sent := &transitSend{x: x}
		ended := make(chan time.Time, 1)
		go func() {
			head := &httpwire.ResponseHead{Status: http.StatusOK, Body: httpwire.Framing{Kind: httpwire.Sized, Length: int64(len(body))}}
			result := sent.whole(t.Context(), head, bufio.NewReader(strings.NewReader(body)))
			ended <- time.Now()
			x.concludeTransit(t.Context(), result)
			conn.Close()
		}()
		time.Sleep(time.Second)
		if got, err := io.ReadAll(caller); err != nil || !strings.HasSuffix(string(got), "\r\n\r\n"+body) {
			t.Errorf("the caller got %d bytes, %v", len(got), err)
		}
		if after := (<-ended).Sub(began); after > 0 || !sent.clean {
			t.Errorf("the send ended %s after the answer", after)
		}
		select {
		case at := <-dropped:
			if after := at.Sub(began); after > 0 {
				t.Errorf("the body was dropped %s after the answer", after)
			}
		default:
			t.Error("the body was not dropped")
		}
	})
}
