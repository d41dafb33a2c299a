package standin

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long bytes that were sent may stay unacknowledged. Something
// between the two ends can lose track of a connection: writes then go on into the
// kernel's buffer and none fails for many minutes, while the work of a reader that
// is gone keeps its memory. With the timeout the next heartbeat but one fails.
const userTimeout = 5 * time.Second

// limitUnacknowledged sets the timeout on a TCP connection; others have none.
func limitUnacknowledged(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
