package client

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time for which sent data may stay unacknowledged before the
// kernel closes the connection. Without it a write could block for many minutes on
// a connection that the peer or the network has dropped without notice.
const userTimeout = 5 * time.Second

// DialTCP opens a TCP connection with TCP_USER_TIMEOUT set.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
