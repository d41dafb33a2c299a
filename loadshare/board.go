package loadshare

import "time"

// Board combines the loads that the other instances reported. It is not safe for concurrent use.
type Board struct {
	senders map[Key]*sender
	loads   map[Key]map[Key]reported // by upstream, then by sender; only non-zero loads
}

type sender struct {
	sequence   uint32
	receivedAt time.Time
	loaded     map[Key]bool // upstreams with a non-zero load from this sender
}

// reported is a load and the time of its report.
type reported struct {
	load Load
	at   time.Time
}

func (t reported) now(now time.Time) Load { return t.load.After(now.Sub(t.at)) }

// ReportTTL is the age after which the reports of an instance expire: twice the interval of full
// reports, so that one may be lost. A dead instance has nothing in flight.
const ReportTTL = 2*FullInterval + 200*time.Millisecond

// FullInterval is the interval at which an instance reports all of its loads, which corrects
// errors from lost datagrams.
const FullInterval = 400 * time.Millisecond

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{senders: map[Key]*sender{}, loads: map[Key]map[Key]reported{}}
}

// Accept applies a report and returns whether it was newer than the last one of its sender.
// Datagrams may arrive out of order.
func (b *Board) Accept(now time.Time, r *Report) bool {
	s := b.senders[r.Sender]
	if s != nil && int32(r.Sequence-s.sequence) <= 0 {
		return false
	}
	if s == nil {
		b.removeExpired(now)
		s = &sender{loaded: map[Key]bool{}}
		b.senders[r.Sender] = s
	}
	s.sequence, s.receivedAt = r.Sequence, now
	if r.Full {
		b.clearSender(r.Sender, s)
	}
	for key, load := range r.Loads {
		b.setLoad(r.Sender, s, key, reported{load: load, at: now})
	}
	return true
}

func (b *Board) setLoad(id Key, s *sender, key Key, t reported) {
	if t.load == (Load{}) {
		b.removeLoad(id, s, key)
		return
	}
	if b.loads[key] == nil {
		b.loads[key] = map[Key]reported{}
	}
	b.loads[key][id] = t
	s.loaded[key] = true
}

func (b *Board) removeLoad(id Key, s *sender, key Key) {
	delete(s.loaded, key)
	delete(b.loads[key], id)
	if len(b.loads[key]) == 0 {
		delete(b.loads, key)
	}
}

func (b *Board) clearSender(id Key, s *sender) {
	for key := range s.loaded {
		b.removeLoad(id, s, key)
	}
}

// removeExpired removes the senders whose reports have expired.
func (b *Board) removeExpired(now time.Time) {
	for id, s := range b.senders {
		if now.Sub(s.receivedAt) > ReportTTL {
			b.clearSender(id, s)
			delete(b.senders, id)
		}
	}
}

// Remove removes all loads of a sender.
func (b *Board) Remove(id Key) {
	if s := b.senders[id]; s != nil {
		b.clearSender(id, s)
		delete(b.senders, id)
	}
}

// Loads returns the combined load of the other instances for all upstreams.
func (b *Board) Loads(now time.Time) map[Key]Load {
	loads := make(map[Key]Load, len(b.loads))
	for key := range b.loads {
		if load := b.Load(now, key); load != (Load{}) {
			loads[key] = load
		}
	}
	return loads
}

// Load returns the combined load of the other instances at an upstream. It visits only the
// instances with a load there: placing a call needs the loads of all upstreams, and with
// hundreds of instances each of them uses only a few upstreams.
func (b *Board) Load(now time.Time, key Key) Load {
	var total Load
	for id, t := range b.loads[key] {
		if now.Sub(b.senders[id].receivedAt) <= ReportTTL {
			total = total.Add(t.now(now))
		}
	}
	return total
}
