package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Ended reports whether the peer has closed its side of a connection, without consuming data. It is
// false for connections without a file descriptor.
func Ended(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(events, 0)
		ended = pollErr == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || err != nil
}
