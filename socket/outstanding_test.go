package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against connections that count as acknowledged while their peer has not taken the bytes, or as open after a
// reset, and against a number for a connection about which nothing is known.
func TestOutstandingBytesAreKnown(t *testing.T) {
	const sent = 1 << 20
	near, far := connect(t)
	conn := near.conn.(*net.TCPConn)
	await := func(what string, met func(Outstanding) bool) {
		t.Helper()
		var o Outstanding
		for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
			seen, known := OutstandingOf(conn)
			if o = seen; known && met(o) {
				return
			}
		}
		t.Fatalf("%s: %+v", what, o)
	}
	await("nothing was sent", func(o Outstanding) bool { return o == Outstanding{} })
	if _, err := io.WriteString(conn, "small"); err != nil {
		t.Fatal(err)
	}
	await("in the buffer of the peer", func(o Outstanding) bool { return o == Outstanding{} })
	if err := far.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetWriteBuffer(2 * sent); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	await("more than the peer takes", func(o Outstanding) bool { return o.Bytes > sent/2 && !o.Gone })
	reset(far)
	await("reset", func(o Outstanding) bool { return o.Bytes > sent/2 && o.Gone })
	conn.Close()
	piped, other := net.Pipe()
	defer other.Close()
	for name, unknown := range map[string]net.Conn{"closed": conn, "in memory": piped} {
		if o, known := OutstandingOf(unknown); known {
			t.Errorf("%s: %+v", name, o)
		}
	}
}
