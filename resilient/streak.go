package resilient

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	firstPause  = time.Millisecond       // after the first failure; doubled with each further one
	maxPause    = 100 * time.Millisecond // limit of the pause, and so of the delay once attempts succeed again
	logInterval = 10 * time.Second       // between two log lines about failures
)

// streak decides what follows the failures of one kind of attempt at a socket.
type streak struct {
	pause    time.Duration // after the latest failure; 0 after a success
	failures int           // since the last line
	logged   bool          // the last line says that attempts fail
	loggedAt time.Time     // of the last line that said so
}

// next is what follows a failure.
type next struct {
	final    bool // the socket is of no further use
	pause    time.Duration
	log      bool
	failures int // to log
}

// failed takes the error of an attempt at now.
func (s *streak) failed(now time.Time, err error) next {
	if final(err) {
		return next{final: true}
	}
	s.pause = min(max(firstPause, 2*s.pause), maxPause)
	n := next{pause: s.pause}
	n.failures, n.log = s.count(now)
	return n
}

// count counts a failure at now. It returns true if it has to be logged, with the number of
// failures since the last line.
func (s *streak) count(now time.Time) (int, bool) {
	s.failures++
	if !s.loggedAt.IsZero() && now.Sub(s.loggedAt) < logInterval {
		return 0, false
	}
	s.logged, s.loggedAt = true, now
	return s.reset(), true
}

// succeeded takes a success. It returns true if it has to be logged, with the number of failures
// since the last line.
func (s *streak) succeeded() (int, bool) {
	s.pause = 0
	if !s.logged {
		return 0, false
	}
	s.logged = false
	return s.reset(), true
}

func (s *streak) reset() int {
	failures := s.failures
	s.failures = 0
	return failures
}

// final reports whether an error will recur for good. All errors of the accept and receive system
// calls that concern a connection, the network or a shortage may pass.
func final(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return true
	}
	switch number {
	case syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP:
		return true
	default:
		return false
	}
}
