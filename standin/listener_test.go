package standin

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// A device between an engine and an instance drops the state of their connection. The
// engine's heartbeats are written into the kernel's buffer, no write fails, and the
// memory of the request is held until its deadline. The effect of the time-out can't
// be reproduced on loopback, so the test checks that the socket option is set.
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
			t.Errorf("TCP_USER_TIMEOUT is %d ms, %v", got, err)
		}
	})
}
