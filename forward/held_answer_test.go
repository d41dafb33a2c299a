package forward

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/delivery"
	"celeryport/settings"
)

// Guards against upstreams that count as busy, and get fewer calls, while a caller reads an answer slowly that they gave
// long before.
func TestSlowCallerOfAWholeAnswerTakesNoPlaceAtItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newServerWithNode(t)
		s.options.Dialect = genuineDialect{}
		body := strings.Repeat("x", 100_000)
		s.options.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				_, _ = far.Read(make([]byte, 1000))
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+body) // what the caller gets is checked
			}()
			return near, nil
		}
		conn, caller := net.Pipe()
		x := &exchange{
			server: s, writer: &delivery.Writer{Conn: conn}, call: &Call{}, service: &settings.ForwardedService{Name: "model"},
			route: &settings.Route{Name: "r", MaxSends: 2}, began: time.Now(), deadline: time.Now().Add(5 * time.Second),
		}
		x.next = &work{lead: n}
		s.fleet.mu.Lock()
		s.fleet.begin(time.Now(), x.next)
		s.fleet.mu.Unlock()
		go func() {
			x.sendAgain(t.Context(), nil)
			conn.Close()
		}()
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
