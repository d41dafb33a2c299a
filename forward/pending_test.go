package forward

import (
	"net"
	"testing"
	"time"

	"celeryport/socket"
)

// Guards against silent connections that seem to have data: the check runs when the read deadline
// has passed, and no call ever left its silent engine.
func TestSilentConnectionHasNoPendingDataAfterItsDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	reader := &livenessReader{conn: socket.NewConn(conn), deadline: time.Now().Add(time.Minute)}
	if pending, err := reader.pending(); pending || err != nil {
		t.Errorf("pending %t (%v) on a connection without data", pending, err)
	}
}
