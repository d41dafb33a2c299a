package helping

import (
	"time"

	"celeryport/failover"
	"celeryport/loadshare"
)

// Silent lists engines that did not reply to an order of one call. Such an engine is left out of the
// next placement, but may go on.
type Silent struct {
	Keys  []loadshare.Key
	since time.Time // when the first of them was found silent
}

// Add adds an engine that did not reply.
func (s *Silent) Add(now time.Time, key loadshare.Key) {
	if s.since.IsZero() {
		s.since = now
	}
	s.Keys = append(s.Keys, key)
}

// Patience returns for how long they may still go on.
func (s *Silent) Patience(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return max(0, failover.MaxSoundSilence-now.Sub(s.since))
}
