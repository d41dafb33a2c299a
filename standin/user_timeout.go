package standin

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time for which sent data may stay unacknowledged. A device
// between the two ends can drop the state of a connection. Writes then still succeed
// into the kernel's buffer for many minutes, while the work of the disconnected
// reader keeps its memory. After the time-out the kernel fails the connection, and
// the next write, at the latest the next heartbeat, returns an error.
const userTimeout = 5 * time.Second

// limitUnacknowledged sets the time-out on a TCP connection and ignores other kinds
// of connection.
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
