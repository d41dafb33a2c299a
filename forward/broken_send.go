package forward

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/quarantine"
)

// brokenSend is a send whose connection the upstream ended before the answer was whole.
type brokenSend struct {
	request quarantine.Fingerprint
	phase   phase
	ran     time.Duration // since the head of the answer came; 0 before
	whole   bool          // an answer comes whole or not at all, so that nothing shows when it begins
	silent  bool          // nothing came any more: the upstream crashed, or the way to it is cut
}

const (
	// crashWindow is how soon after it has begun to run a request an upstream ends that is
	// crashed by it.
	crashWindow = 300 * time.Millisecond
	// lateCrashWindow is the time up to which the request may still be the cause.
	lateCrashWindow = time.Second
)

// mayBeCause reports whether the upstream ended a moment after it was seen to begin.
func (b *brokenSend) mayBeCause() bool {
	return !b.silent && b.phase != phaseUnanswered && b.ran <= crashWindow
}

// evidence says what the end of the upstream tells of the request; false: nothing.
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
	case b.ran <= lateCrashWindow:
		return quarantine.EndedWaiting, true
	default:
		return 0, false
	}
}

// endedByPeer reports whether an error says that the other side closed the connection or
// fell silent, as a process that crashes does.
func endedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, httpwire.ErrTruncated, errSilent, syscall.ECONNRESET, syscall.EPIPE)
}
