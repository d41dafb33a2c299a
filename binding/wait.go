package binding

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	retryPause  = 50 * time.Millisecond // between two attempts
	logInterval = 10 * time.Second      // between two log lines about the same address
)

// wait decides what follows the attempts to bind one address.
type wait struct {
	attempts int
	began    time.Time // when the first attempt failed
	logged   time.Time
}

// next is what follows a failed attempt.
type next struct {
	refuse bool          // no further attempt
	log    bool          // the failure is logged
	waited time.Duration // since the first failed attempt
}

// failed takes the error of an attempt that failed at now.
func (w *wait) failed(now time.Time, err error) next {
	if !passes(err) {
		return next{refuse: true}
	}
	if w.attempts == 0 {
		w.began = now
	}
	n := next{waited: now.Sub(w.began), log: w.attempts == 0 || now.Sub(w.logged) >= logInterval}
	if n.log {
		w.logged = now
	}
	w.attempts++
	return n
}

// bound takes the success at now. It returns how long the address was waited for, and false if
// the first attempt succeeded.
func (w *wait) bound(now time.Time) (time.Duration, bool) {
	if w.attempts == 0 {
		return 0, false
	}
	return now.Sub(w.began), true
}

// passes reports whether an attempt to bind may succeed later although neither the settings nor
// the addresses and permissions of this host change. EADDRNOTAVAIL is not among these errors: an
// address of another host is by far its most likely cause, and has to be refused at once.
func passes(err error) bool {
	var lookup *net.DNSError
	if errors.As(err, &lookup) {
		return lookup.IsTemporary || lookup.IsTimeout
	}
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN:
		return true
	default:
		return false
	}
}
