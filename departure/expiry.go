package departure

import "time"

// markInterval is the shortest time between two marks, and so the precision of the retention.
const markInterval = time.Minute

// Expiry tells which departures have been kept for the retention. Time is the steady clock of one instance, which
// counts from the moment at which it learned of them: the time of day may jump, and dropping a departure early would
// bring an upstream back.
type Expiry struct {
	marks []mark // oldest first
}

// mark states that the departures up to a log index were known at a time.
type mark struct {
	at    time.Time
	index uint64
}

// Observe records the log index of the last change.
func (e *Expiry) Observe(now time.Time, index uint64) {
	if index == 0 {
		return
	}
	if n := len(e.marks); n > 0 && (e.marks[n-1].index >= index || now.Sub(e.marks[n-1].at) < markInterval) {
		return
	}
	e.marks = append(e.marks, mark{now, index})
}

// Due returns the highest log index whose departures have been known for the retention, 0 if there is none.
func (e *Expiry) Due(now time.Time, retention time.Duration) uint64 {
	upTo := uint64(0)
	for len(e.marks) > 0 && now.Sub(e.marks[0].at) >= retention {
		upTo = e.marks[0].index
		e.marks = e.marks[1:]
	}
	return upTo
}
