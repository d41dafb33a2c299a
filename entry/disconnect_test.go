package entry

import (
	"io"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against engines that go on for callers that have left, because bytes of another call wait on the connection, and
// against callers that are taken for gone.
func TestCallerIsGoneOnceItsConnectionHasEnded(t *testing.T) {
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	for name, test := range map[string]struct {
		sent  string // after the call
		end   func(c *net.TCPConn)
		event int16 // that shows the end
		gone  bool
	}{
		"open":                                {"", func(*net.TCPConn) {}, 0, false},
		"closed":                              {"", func(c *net.TCPConn) { _ = c.Close() }, unix.POLLRDHUP, true},
		"sending half closed":                 {"", func(c *net.TCPConn) { _ = c.CloseWrite() }, unix.POLLRDHUP, true},
		"reset":                               {"", reset, unix.POLLHUP, true},
		"next call":                           {"GET", func(*net.TCPConn) {}, unix.POLLIN, false},
		"next call, reset":                    {"GET", reset, unix.POLLHUP, true},
		"next call, then sending half closed": {"GET", func(c *net.TCPConn) { _ = c.CloseWrite() }, unix.POLLRDHUP, false}, // both are answered
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			caller, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			raw, err := accepted.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(caller, test.sent)
			test.end(caller.(*net.TCPConn))
			if test.event != 0 {
				_ = raw.Control(func(fd uintptr) {
					_, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: test.event}}, -1)
				})
			}
			for range 2 {
				if gone := isDisconnected(raw); gone != test.gone {
					t.Errorf("gone: %t", gone)
				}
			}
		})
	}
}
