package forward

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/callerconn"
	"celeryport/control"
)

// Guards against a shutdown that waits for the idle timeout of a connection that was accepted
// while the server closed.
func TestConnectionAcceptedDuringCloseIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-0")
		s.Close()
		caller, accepted := net.Pipe()
		began := time.Now()
		s.serveConn(accepted)
		if _, err := caller.Read(make([]byte, 1)); err == nil || time.Since(began) > 0 {
			t.Errorf("read %v after %s", err, time.Since(began))
		}
	})
}

// Guards against a close that ends the connections of calls that could still be refused: while they are
// being read, while they wait, and when they arrive at that moment on an idle connection.
func TestCloseRefusesCallsWithoutAnAnswer(t *testing.T) {
	const head = "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	tests := []struct {
		name          string
		before, after string // sent before and in the moment of the close
	}{
		{"waiting for settings", head + "abcd", ""},
		{"body incomplete", head + "ab", ""},
		{"head incomplete", head[:20], ""},
		{"head arrives with the close", "", head + "abcd"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newCallerServer(t)
				s.options.Plane = fixedPlane{view: &control.View{}} // calls wait for their settings
				caller, accepted := net.Pipe()
				s.serveConn(accepted)
				if _, err := io.WriteString(caller, test.before); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				began := time.Now()
				if test.after != "" {
					go func() { _, _ = io.Copy(caller, strings.NewReader(test.after)) }() // the answer is checked
				}
				go s.Close()
				answer, err := readAnswer(caller)
				if err != nil || answer.StatusCode != http.StatusServiceUnavailable || !answer.Close {
					t.Errorf("answer %+v, error %v", answer, err)
				}
				if waited := time.Since(began); waited > CloseGrace {
					t.Errorf("the answer came after %s", waited)
				}
				caller.Close()
				synctest.Wait()
			})
		})
	}
}

// Guards against a close that waits for callers that neither read nor leave.
func TestCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		if _, err := io.WriteString(caller, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		s.Close()
		if took := time.Since(began); took > CloseGrace {
			t.Errorf("the close took %s", took)
		}
		caller.Close()
	})
}

// Guards against a reset that overtakes the refusal of a call whose body still arrives at the close.
func TestCloseReadsOnAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		if _, err := io.WriteString(caller, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"); err != nil {
			t.Fatal(err)
		}
		go s.Close()
		if answer, err := readAnswer(caller); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("answer %+v, error %v", answer, err)
		}
		if _, err := io.WriteString(caller, "cd"); err != nil {
			t.Errorf("the rest of the body: %v", err)
		}
		caller.Close()
		synctest.Wait()
	})
}

// slowListener is a listener in memory that takes a moment to accept a connection.
type slowListener struct {
	conns    chan net.Conn
	closed   chan struct{}
	deadline atomic.Pointer[<-chan time.Time]
}

func (l *slowListener) Accept() (net.Conn, error) {
	for {
		var passed <-chan time.Time
		if at := l.deadline.Load(); at != nil {
			passed = *at
		}
		select {
		case <-time.After(time.Millisecond):
		case <-passed:
			return nil, os.ErrDeadlineExceeded
		case <-l.closed:
			return nil, net.ErrClosed
		}
		select {
		case conn := <-l.conns:
			return conn, nil
		default:
		}
	}
}

func (l *slowListener) SetDeadline(at time.Time) error {
	passed := time.After(time.Until(at))
	l.deadline.Store(&passed)
	return nil
}

// Close resets the connections that were not accepted.
func (l *slowListener) Close() error {
	close(l.closed)
	for {
		select {
		case conn := <-l.conns:
			conn.Close()
		default:
			return nil
		}
	}
}

func (l *slowListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against calls on connections that wait to be accepted when the server closes, which the kernel resets, or
// that were accepted just before.
func TestCloseRefusesCallsOnConnectionsThatWait(t *testing.T) {
	for name, test := range map[string]struct {
		accepted, delay time.Duration
		before          int // connections that wait before it
	}{
		"call sent":            {0, 0, 0},
		"call on the way":      {0, 2 * lastLookTime, 0},
		"accepted just before": {2 * time.Millisecond, 2 * lastLookTime, 0},
		"many wait":            {0, 0, 50},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newCallerServer(t)
				s.options.Plane = fixedPlane{view: &control.View{}} // calls wait for their settings
				listener := &slowListener{conns: make(chan net.Conn, 1+test.before), closed: make(chan struct{})}
				served := make(chan error, 1)
				go func() { served <- s.Serve(listener) }()
				synctest.Wait()
				caller, waits := net.Pipe()
				for range test.before {
					other, waits := net.Pipe()
					other.Close()
					listener.conns <- waits
				}
				listener.conns <- waits
				time.Sleep(test.accepted)
				took := make(chan time.Duration, 1)
				go func() {
					began := time.Now()
					s.Close()
					took <- time.Since(began)
				}()
				time.Sleep(test.delay)
				go func() { _, _ = io.WriteString(caller, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd") }() // the answer is checked
				if answer, err := readAnswer(caller); err != nil || answer.StatusCode != http.StatusServiceUnavailable || !answer.Close {
					t.Errorf("answer %+v, error %v", answer, err)
				}
				caller.Close()
				if err := <-served; err != nil {
					t.Error(err)
				}
				if closing := <-took; closing > callerconn.CloseReadTime+lastAcceptTime+CloseGrace {
					t.Errorf("the close took %s", closing)
				}
			})
		})
	}
}
