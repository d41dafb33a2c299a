package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a refusal that does not reach a caller that is still sending the body: the connection was
// reset before the caller looked for an answer.
func TestRefusedCallerCanSendItsWholeBody(t *testing.T) {
	const parts, part = 8, 400 << 10
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		s.bodies.Reserve(s.bodies.Free())
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		if _, err := io.WriteString(caller, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3276800\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if answer, err := readAnswer(caller); err != nil || answer.StatusCode != http.StatusTooManyRequests || !answer.Close {
			t.Errorf("answer %+v, error %v", answer, err)
		}
		for i := range parts {
			if _, err := caller.Write(bytes.Repeat([]byte("x"), part)); err != nil {
				t.Fatalf("part %d: %v", i, err)
			}
			time.Sleep(time.Second)
		}
		caller.Close()
		s.Close()
	})
}

// Guards against connections of refused callers that send the rest of a body without end.
func TestRestOfARefusedBodyIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		s.bodies.Reserve(s.bodies.Free())
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		began := time.Now()
		if _, err := io.WriteString(caller, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3276800\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := readAnswer(caller); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, caller); err != nil {
			t.Errorf("the end of the connection: %v", err)
		}
		if took := time.Since(began); took > defaultHeaderTimeout+bodyTimeout+lingerTimeout {
			t.Errorf("the connection ended after %s", took)
		}
		caller.Close()
		s.Close()
	})
}

// Guards against a reset that overtakes the answer to a call that can't be read: its caller sends the whole call
// before it looks for an answer, for instance just after the limits of the settings were lowered.
func TestCallersOfUnreadableCallsCanSendOn(t *testing.T) {
	const parts, part = 16, 400 << 10
	tests := []struct {
		name, head string
		pause      time.Duration // between two parts
		status     int
	}{
		{"body over the limit", "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 6553600\r\n\r\n", 0, http.StatusRequestEntityTooLarge},
		{"slow body over the limit", "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 6553600\r\n\r\n", 500 * time.Millisecond, http.StatusRequestEntityTooLarge},
		{"head that can't be read", "PUT / HTTP/1.1\r\nContent-Length: 6553600\r\n\r\n", 200 * time.Millisecond, http.StatusBadRequest},
		{"head over the limit", "PUT / HTTP/1.1\r\nA: " + strings.Repeat("a", defaultHeaderBytes), 200 * time.Millisecond, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newCallerServer(t)
				caller, accepted := net.Pipe()
				s.serveConn(accepted)
				sent := make(chan error, 1)
				go func() {
					_, err := io.WriteString(caller, test.head)
					for range parts {
						time.Sleep(test.pause)
						if err == nil {
							_, err = caller.Write(bytes.Repeat([]byte("x"), part))
						}
					}
					sent <- err
				}()
				if answer, err := readAnswer(caller); err != nil || answer.StatusCode != test.status || !answer.Close {
					t.Errorf("answer %+v, error %v", answer, err)
				}
				if err := <-sent; err != nil {
					t.Errorf("the rest of the call: %v", err)
				}
				caller.Close()
				s.Close()
			})
		})
	}
}

// Guards against a stop that resets the connection of a refused caller which is still sending its call.
func TestRefusedCallersCanSendOnInAStop(t *testing.T) {
	const parts, pause = 10, 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		if _, err := io.WriteString(caller, "PUT / HTTP/1.1\r\nContent-Length: 6553600\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if answer, err := readAnswer(caller); err != nil || answer.StatusCode != http.StatusBadRequest {
			t.Fatalf("answer %+v, error %v", answer, err)
		}
		began := time.Now()
		finished := make(chan struct{})
		time.AfterFunc(pause/5, func() {
			defer close(finished)
			s.StopTaking()
			s.Finish(began.Add(lingerLimit))
		})
		for n := range parts {
			time.Sleep(pause)
			if _, err := io.WriteString(caller, "part"); err != nil {
				t.Fatalf("part %d: %v", n, err)
			}
		}
		<-finished
		if took := time.Since(began); took > parts*pause+lingerTimeout {
			t.Errorf("the connection ended after %s", took)
		}
		caller.Close()
	})
}
