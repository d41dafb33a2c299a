// Package socket holds connections whose failure the kernel reports once only, and inspects them without consuming
// their data.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a read would return at once, without consuming data. It is false for
// connections without a file descriptor, such as those of tests in memory.
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
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ready = peekErr != unix.EAGAIN
		c.record(Check, peekErr)
		return true
	})
	return ready || err != nil
}
