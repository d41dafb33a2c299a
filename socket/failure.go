package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// isFailure reports whether an error is that of a connection which ended out of order: a reset, a time-out of the
// kernel, a lost route. EPIPE is none: the kernel returns it if the peer has ended its own direction in order before, and
// for operations after one that has met the failure.
func isFailure(err error) bool {
	if err == nil { // most operations; errno is allocated
		return false
	}
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EAGAIN && errno != syscall.EINTR && errno != syscall.EPIPE
}
