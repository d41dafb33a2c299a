// Package socket inspects connections without consuming their data.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable reports whether a read would return at once, without consuming data. It is false for
// connections without a file descriptor, such as those of tests in memory.
func Readable(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
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
		return true
	})
	return ready || err != nil
}
