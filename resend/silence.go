package resend

import (
	"time"

	"celeryport/failover"
)

// Silence is what a call knows that was not sent because the upstream took no connection. A sound upstream
// may take none for up to failover.MaxSoundSilence.
type Silence struct {
	Deadline   time.Time          // of the call; zero: none
	Since      time.Time          // when the call could not be sent for the first time
	Untried    bool               // an upstream that the call has not tried may take it
	Restarting bool               // one that it tried refused the connection or was replaced, and may be back soon
	Tried      []failover.Contact // what is known of those that it tried
}

// Step is what to do with a call that was not sent.
type Step uint8

const (
	// SendAgain means to place the call again, within its other limits.
	SendAgain Step = iota
	// AwaitContact means to wait until more is known of the upstreams.
	AwaitContact
	// Refuse means to refuse the call: nothing can take it in the time that is left.
	Refuse
)

// Until returns by when the call is refused if nothing more becomes known.
func (s *Silence) Until() time.Time {
	until := s.Since.Add(failover.MaxSoundSilence)
	if last := s.Deadline.Add(-minTimeLeft); !s.Deadline.IsZero() && last.Before(until) {
		return last
	}
	return until
}

// Next returns what to do now.
func (s *Silence) Next(now time.Time) Step {
	silent := false
	for _, c := range s.Tried {
		switch c {
		case failover.Ended:
		case failover.Unreachable:
			silent = true
		default:
			return SendAgain
		}
	}
	switch {
	case s.Untried || len(s.Tried) == 0: // another may be announced
		return SendAgain
	case silent && now.Before(s.Until()):
		return AwaitContact
	case s.Restarting && !silent:
		return SendAgain
	default:
		return Refuse
	}
}
