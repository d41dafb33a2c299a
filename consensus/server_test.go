package consensus

import (
	"encoding/json"
	"time"
)

// server is a node with a simulated disk and clock, and the entries it applied.
type server struct {
	id             ID
	node           *Node
	disk           Storage
	up             bool
	suspendedAt    time.Time // real time of the suspension; zero if running
	inbox          []delivery
	rate           float64 // clock rate relative to real time
	applied        []string
	appliedIndex   uint64 // last applied index
	publishedLease time.Time
	failSync       bool   // the next sync fails
	pending        *Batch // batch being synced by a slow disk
	syncedAt       time.Time
	reads          []ReadState
}

func (s *server) restoreState(snap Snapshot) {
	s.applied, s.appliedIndex = nil, snap.Index
	if snap.Index > 0 {
		_ = json.Unmarshal(snap.Data, &s.applied)
	}
}

func (s *server) clock(now time.Time) time.Time {
	return startTime.Add(time.Duration(s.rate * float64(now.Sub(startTime))))
}

func (s *server) running() bool { return s.up && s.suspendedAt.IsZero() }

// save applies a synced batch to the storage.
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

func (w *network) suspend(s *server) { s.suspendedAt = w.now }

// resume resumes a suspended server. A message that it had received before the
// suspension is stepped with the time read before it.
func (w *network) resume(s *server) {
	suspendedAt, inbox := s.suspendedAt, s.inbox
	s.suspendedAt, s.inbox = time.Time{}, nil
	w.checkLeases()
	for _, d := range inbox {
		now := s.clock(w.now)
		if !d.sent.After(suspendedAt) {
			now = s.clock(suspendedAt)
		}
		w.receive(s, d.m, now)
	}
}

// crash stops a server, which loses all unsynced state. A prefix of a batch that
// was being written may be on the disk.
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
