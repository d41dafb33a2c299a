package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Outstanding is what the kernel still has to do for a connection.
type Outstanding struct {
	Bytes int  // that were written and that the peer's kernel has not acknowledged, with one for the end of the stream if that was sent
	Gone  bool // the connection has failed or ended in both directions: none of these bytes will be acknowledged any more
}

// OutstandingOf returns what the kernel still has to do for a TCP connection. It returns false if that can't be known:
// for connections that are closed or have no file descriptor, and where the system refuses the question.
func OutstandingOf(conn net.Conn) (Outstanding, bool) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return Outstanding{}, false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return Outstanding{}, false
	}
	var o Outstanding
	var unknown error
	if err := raw.Control(func(fd uintptr) { o, unknown = outstandingOf(int(fd)) }); err != nil {
		return Outstanding{}, false
	}
	return o, unknown == nil
}

func outstandingOf(fd int) (Outstanding, error) {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil || n == 0 {
		return Outstanding{}, err
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	gone := err == nil && info.State == unix.BPF_TCP_CLOSE // if the state is not known, the bytes may still arrive
	return Outstanding{Bytes: n, Gone: gone}, nil
}
