package consensus

import (
	"encoding/json"
	"time"
)

// server is a node with its disk, its clock and what it applied.
type server struct {
	id        ID
	node      *Node
	disk      Storage
	up        bool
	frozenAt  time.Time // true time; zero when it runs
	inbox     []delivery
	rate      float64 // of its clock against true time
	applied   []string
	at        uint64 // last applied index
	published time.Time
	failSync  bool   // the next sync fails
	pending   *Batch // being synced by a slow disk
	syncedAt  time.Time
	reads     []ReadState
}

func (s *server) restoreState(snap Snapshot) {
	s.applied, s.at = nil, snap.Index
	if snap.Index > 0 {
		_ = json.Unmarshal(snap.Data, &s.applied)
	}
}

func (s *server) clock(now time.Time) time.Time {
	return trueStart.Add(time.Duration(s.rate * float64(now.Sub(trueStart))))
}

func (s *server) running() bool { return s.up && s.frozenAt.IsZero() }

// save is the synced disk of a batch.
func (d *Storage) save(b *Batch) {
	if b.HardState != nil {
		d.HardState = *b.HardState
	}
	if len(b.Entries) > 0 {
		for len(d.Entries) > 0 && d.Entries[len(d.Entries)-1].Index >= b.Entries[0].Index {
			d.Entries = d.Entries[:len(d.Entries)-1]
		}
		d.Entries = append(d.Entries, b.Entries...)
	}
	if b.Snapshot != nil {
		d.Snapshot = *b.Snapshot
		d.Entries = nil
	}
}

func (w *network) freeze(s *server) { s.frozenAt = w.now }

// thaw wakes a frozen server. A message that it had already taken when it froze
// is stepped with the time that was read then.
func (w *network) thaw(s *server) {
	frozenAt, inbox := s.frozenAt, s.inbox
	s.frozenAt, s.inbox = time.Time{}, nil
	w.checkLeases()
	for _, d := range inbox {
		now := s.clock(w.now)
		if !d.sent.After(frozenAt) {
			now = s.clock(frozenAt)
		}
		w.receive(s, d.m, now)
	}
}

// crash loses everything that was not synced. Of a batch that was being
// written, a prefix may be on the disk.
func (w *network) crash(s *server) {
	b := s.pending
	if b == nil && s.up && s.node.HasReady() {
		ready := s.node.Ready()
		b = &ready
	}
	if b != nil && w.rng.IntN(2) == 0 {
		part := Batch{HardState: b.HardState, Entries: b.Entries}
		part.Entries = part.Entries[:w.rng.IntN(len(part.Entries)+1)]
		s.disk.save(&part)
	}
	s.up = false
}

func (w *network) restart(s *server) { w.start(s, Configuration{}) }
