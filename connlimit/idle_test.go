package connlimit

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus/hooks/test"
)

// pipes is a listener for connections in memory.
type pipes struct {
	net.Listener
	conns chan net.Conn
}

func (p pipes) Accept() (net.Conn, error) {
	conn, open := <-p.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against idle connections that keep others out, and against the end of those that are used.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		refused := 0
		idle := NewIdle()
		inner := pipes{conns: make(chan net.Conn, 1)}
		listener := New(inner, Options{Limit: 2, Log: log, Refused: func() { refused++ }, Refuse: func(net.Conn) {}, Idle: idle})
		accept := func() net.Conn {
			server, client := net.Pipe()
			t.Cleanup(func() { client.Close() })
			inner.conns <- server
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			return conn
		}
		closed := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }
		used, left := accept(), accept()
		idle.Track(left, http.StateIdle)
		idle.Track(used, http.StateIdle)
		time.Sleep(minIdle)
		idle.Track(used, http.StateActive)
		third := accept()
		if refused != 0 || closed(used) || !closed(left) {
			t.Fatalf("%d refused, used closed: %t, idle closed: %t", refused, closed(used), closed(left))
		}
		idle.Track(third, http.StateIdle)
		time.Sleep(minIdle - time.Millisecond)
		over, client := net.Pipe()
		t.Cleanup(func() { client.Close() })
		inner.conns <- over
		close(inner.conns)
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Fatal(err)
		}
		if refused != 1 || closed(third) {
			t.Errorf("%d refused, closed: %t", refused, closed(third))
		}
	})
}
