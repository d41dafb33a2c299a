package standin

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Something between an engine and an instance loses track of their connection.
// The engine's heartbeats go into the kernel's buffer, no write fails, and the
// memory of the request is held until its deadline. What the kernel does with the
// timeout can't be shown on loopback, so this checks that it is told.
func TestAcceptedConnectionsHaveUserTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracked := track(ln)
	defer tracked.closeAll()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	conn, err := tracked.Accept()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := conn.(*trackedConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil || got != int(userTimeout.Milliseconds()) {
			t.Errorf("timeout %d ms, %v", got, err)
		}
	})
}
