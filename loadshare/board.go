package loadshare

import "time"

// Board sums up what the other instances reported. It is not safe for concurrent use.
type Board struct {
	senders map[Key]*sender
	loads   map[Key]map[Key]reported // by upstream, then by sender; only loads that are not nothing
}

type sender struct {
	sequence uint32
	heardAt  time.Time
	loaded   map[Key]bool // upstreams at which it has something under way
}

// reported is a load and when it was reported.
type reported struct {
	load Load
	at   time.Time
}

func (t reported) now(now time.Time) Load { return t.load.After(now.Sub(t.at)) }

// Forget is the age from which on the word of an instance does not count any
// more: twice the interval of full reports, so that one may be lost. An instance
// that died has nothing under way.
const Forget = 2*FullInterval + 200*time.Millisecond

// FullInterval is how often an instance tells all of its loads, which repairs
// what lost datagrams left wrong.
const FullInterval = 400 * time.Millisecond

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{senders: map[Key]*sender{}, loads: map[Key]map[Key]reported{}}
}

// Take takes in a report and reports whether it was news. Datagrams may overtake
// each other.
func (b *Board) Take(now time.Time, r *Report) bool {
	s := b.senders[r.Sender]
	if s != nil && int32(r.Sequence-s.sequence) <= 0 {
		return false
	}
	if s == nil {
		b.forgetSilent(now)
		s = &sender{loaded: map[Key]bool{}}
		b.senders[r.Sender] = s
	}
	s.sequence, s.heardAt = r.Sequence, now
	if r.Full {
		b.clear(r.Sender, s)
	}
	for key, load := range r.Loads {
		b.set(r.Sender, s, key, reported{load: load, at: now})
	}
	return true
}

func (b *Board) set(id Key, s *sender, key Key, t reported) {
	if t.load == (Load{}) {
		b.drop(id, s, key)
		return
	}
	if b.loads[key] == nil {
		b.loads[key] = map[Key]reported{}
	}
	b.loads[key][id] = t
	s.loaded[key] = true
}

func (b *Board) drop(id Key, s *sender, key Key) {
	delete(s.loaded, key)
	delete(b.loads[key], id)
	if len(b.loads[key]) == 0 {
		delete(b.loads, key)
	}
}

func (b *Board) clear(id Key, s *sender) {
	for key := range s.loaded {
		b.drop(id, s, key)
	}
}

// forgetSilent drops the senders whose word does not count any more.
func (b *Board) forgetSilent(now time.Time) {
	for id, s := range b.senders {
		if now.Sub(s.heardAt) > Forget {
			b.clear(id, s)
			delete(b.senders, id)
		}
	}
}

// Remove drops what a sender reported.
func (b *Board) Remove(id Key) {
	if s := b.senders[id]; s != nil {
		b.clear(id, s)
		delete(b.senders, id)
	}
}

// Loads returns what the others have under way at all upstreams.
func (b *Board) Loads(now time.Time) map[Key]Load {
	loads := make(map[Key]Load, len(b.loads))
	for key := range b.loads {
		if load := b.Load(now, key); load != (Load{}) {
			loads[key] = load
		}
	}
	return loads
}

// Load returns what the others have under way at an upstream. It looks only at those
// that have: a call is placed by the loads of all upstreams, and with hundreds of
// instances each of them has work at a few.
func (b *Board) Load(now time.Time, key Key) Load {
	var total Load
	for id, t := range b.loads[key] {
		if now.Sub(b.senders[id].heardAt) <= Forget {
			total = total.Add(t.now(now))
		}
	}
	return total
}
