package forward

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/quarantine"
)

// brokenSend is a send whose connection failed at the upstream's end before the answer was
// complete.
type brokenSend struct {
	request quarantine.Fingerprint
	route   string
	parts   []quarantine.Part // of the prompt
	sentAt  time.Time
	phase   phase
	runTime time.Duration // time since the head of the answer arrived; 0 if it has not
	whole   bool          // the answer is sent as a whole, so that it does not show when the upstream begins to run the call
	unused  bool          // the connection had carried no other call
	idle    time.Duration // for which the connection was idle before the call
	silent  bool          // the upstream stopped responding: it crashed, or the network path to it failed
}

const (
	// crashWindow is the longest time that an upstream runs a request before it ends, if the
	// request crashes it.
	crashWindow = 300 * time.Millisecond
	// lateCrashWindow is the time up to which the request may still be the cause.
	lateCrashWindow = time.Second
)

// showsPath reports whether the end of the connection is evidence against the path if the upstream goes
// on: a connection that was idle before may end at any time.
func (b *brokenSend) showsPath() bool { return b.phase == phaseUnanswered && b.unused && !b.silent }

// mayBeCause reports whether the upstream ended shortly after it was observed to begin running
// the request.
func (b *brokenSend) mayBeCause() bool {
	return !b.silent && b.phase != phaseUnanswered && b.runTime <= crashWindow
}

// evidence returns what the end of the upstream indicates about the request; the last result is
// false if it indicates nothing.
func (b *brokenSend) evidence() (quarantine.Outcome, bool) {
	switch {
	case b.silent:
		return quarantine.EndedWaiting, true
	case b.phase == phaseUnanswered && b.whole:
		return quarantine.EndedStarted, true
	case b.phase == phaseUnanswered:
		return quarantine.EndedWaiting, true
	case b.mayBeCause():
		return quarantine.EndedStarted, true
	case b.runTime <= lateCrashWindow:
		return quarantine.EndedWaiting, true
	default:
		return 0, false
	}
}

// endedByPeer reports whether an error means that the peer closed the connection or stopped
// responding, as a crashing process does.
func endedByPeer(err error) bool {
	return !errors.Is(err, errUncheckedEnd) && errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, httpwire.ErrTruncated, errSilent, syscall.ECONNRESET, syscall.EPIPE)
}

// endedByPeer reports the same for the connection of the send, whose failure may also be a time-out of the kernel or a lost
// route. On a connection that is not open yet, these show no end.
func (s *sending) endedByPeer(err error) bool {
	_, failure := s.conn.conn.Failure()
	return endedByPeer(err) || failure != nil && errors.Is(err, failure)
}
