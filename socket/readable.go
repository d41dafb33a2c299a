// Package socket holds connections whose failure the kernel reports once only, and inspects them without consuming
// their data or that report.
package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Readable reports whether a read would return at once. It consumes neither data nor the error of a connection that
// has failed, which recv with MSG_PEEK would. It is false for connections without a file descriptor, such as those of
// tests in memory.
func (c *Conn) Readable() bool {
	syscallConn, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	ready := true
	err = raw.Read(func(fd uintptr) bool {
		n, pollErr := poll(fd)
		for errors.Is(pollErr, unix.EINTR) { // a signal, such as those of the scheduler, interrupts even a poll that doesn't wait
			n, pollErr = poll(fd)
		}
		ready = n > 0 || pollErr != nil
		return true
	})
	return ready || err != nil
}

func poll(fd uintptr) (int, error) {
	return unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}, 0)
}
