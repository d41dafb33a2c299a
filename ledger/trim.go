package ledger

import "time"

// Retention periods of an incarnation's counters, from its last copy. Without them,
// the state would grow without bound, by one incarnation for each restart of any
// instance.
const (
	latencyRetention = 7 * 24 * time.Hour
	countRetention   = 92 * 24 * time.Hour // longer than the longest error budget period
)

// Trim drops expired counters: first the latencies of an incarnation, which take up
// most of the space, and later the whole incarnation. Windows are bounded
// separately.
func (s *State) Trim(now time.Time) {
	for id, inc := range s.Incarnations {
		switch age := now.Sub(inc.At); {
		case age > countRetention:
			delete(s.Incarnations, id)
			s.recordDropped(inc.At)
		case age > latencyRetention:
			inc.dropLatencies()
		}
	}
}

// recordDropped records the time of the last copy of the newest dropped incarnation, so
// that a report without Since can state what it lacks.
func (s *State) recordDropped(at time.Time) {
	if at.After(s.DroppedUpTo) {
		s.DroppedUpTo = at
	}
}

func (i *Incarnation) dropLatencies() {
	for name, counters := range i.Series {
		trimmed := counters.withoutBins()
		i.Series[name] = &trimmed
	}
}
