package loadshare

import "time"

// Board sums up what the other instances told. It is not safe for concurrent use.
type Board struct {
	senders map[Key]*sender
}

type sender struct {
	sequence uint32
	heardAt  time.Time
	loads    map[Key]told
}

// told is a load and when it was told.
type told struct {
	load Load
	at   time.Time
}

func (t told) now(now time.Time) Load { return t.load.After(now.Sub(t.at)) }

// Forget is the age from which on the word of an instance does not count any
// more: twice the interval of full reports, so that one may be lost. An instance
// that died has nothing under way.
const Forget = 2*FullInterval + 200*time.Millisecond

// FullInterval is how often an instance tells all of its loads, which repairs
// what lost datagrams left wrong.
const FullInterval = 400 * time.Millisecond

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{senders: map[Key]*sender{}} }

// Take takes in a report and reports whether it was news. Datagrams may overtake
// each other.
func (b *Board) Take(now time.Time, r *Report) bool {
	s := b.senders[r.Sender]
	if s != nil && int32(r.Sequence-s.sequence) <= 0 {
		return false
	}
	if s == nil {
		s = &sender{loads: map[Key]told{}}
		b.senders[r.Sender] = s
	}
	s.sequence, s.heardAt = r.Sequence, now
	if r.Full {
		clear(s.loads)
	}
	for key, load := range r.Loads {
		s.loads[key] = told{load: load, at: now}
	}
	return true
}

// Load returns what the others have under way at an upstream.
func (b *Board) Load(now time.Time, key Key) Load {
	var total Load
	for id, s := range b.senders {
		if now.Sub(s.heardAt) > Forget {
			delete(b.senders, id)
			continue
		}
		total = total.Add(s.loads[key].now(now))
	}
	return total
}
