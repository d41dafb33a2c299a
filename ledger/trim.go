package ledger

import "time"

// How long what an incarnation counted is kept after its last copy. Without a
// bound the books would grow with every restart of any instance for ever.
const (
	keepLatencies = 7 * 24 * time.Hour
	keepCounts    = 92 * 24 * time.Hour // longer than the longest period of an error budget
)

// Trim drops what is too old: first the latencies of an incarnation, which are
// most of it, later all of it. Windows have bounds of their own.
func (s *State) Trim(now time.Time) {
	for id, known := range s.Incarnations {
		switch age := now.Sub(known.At); {
		case age > keepCounts:
			delete(s.Incarnations, id)
			s.noteDropped(known.At)
		case age > keepLatencies:
			known.dropLatencies()
		}
	}
}

// noteDropped remembers the newest end among the dropped incarnations, so that
// a report over everything can say what is not in it.
func (s *State) noteDropped(at time.Time) {
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
