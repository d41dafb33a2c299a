package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// fataler is what *testing.T and *rapid.T share.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

type delivery struct {
	at, sent time.Time
	m        Message
}

// network carries messages between servers on virtual time and checks the
// invariants after every step.
type network struct {
	t         fataler
	rng       *rand.Rand
	timing    Timing
	now       time.Time
	servers   []*server
	wire      []delivery
	cut       func(from, to ID) bool
	loss      float64
	doubles   float64
	leaders   map[uint64]ID
	committed []Entry // by index-1, as first committed anywhere
	snapshots int     // installed
	posted    map[MessageKind]int
	trailing  uint64
	slowDisks bool // syncs take a while, in which messages go on arriving
	crashes   bool // servers crash between a step and its sync
}

var trueStart = time.Unix(1_000_000, 0)

func newNetwork(t fataler, seed uint64, size int) *network {
	return newNetworkWith(t, seed, size, DefaultTiming())
}

func newNetworkWith(t fataler, seed uint64, size int, timing Timing) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 7)), timing: timing, now: trueStart, leaders: map[uint64]ID{}}
	w.trailing, w.posted = 8, map[MessageKind]int{}
	var initial Configuration
	for i := range size {
		initial.Voters = append(initial.Voters, Member{ID: ID(fmt.Sprintf("v%d", i+1))})
	}
	for _, m := range initial.Voters {
		w.boot(&server{id: m.ID, rate: 1}, initial)
	}
	return w
}

func (w *network) boot(s *server, initial Configuration) *server {
	w.servers = append(w.servers, s)
	w.start(s, initial)
	return s
}

func (w *network) start(s *server, initial Configuration) {
	cfg := Config{ID: s.id, Timing: w.timing, Initial: initial, Trailing: w.trailing}
	cfg.Rand = rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	node, err := New(cfg, s.disk)
	if err != nil {
		w.t.Fatalf("start of %s: %v", s.id, err)
	}
	s.node, s.up, s.frozenAt, s.inbox = node, true, time.Time{}, nil
	s.published, s.pending = time.Time{}, nil
	s.restoreState(s.disk.Snapshot)
	s.node.Tick(s.clock(w.now))
}

func (w *network) server(id ID) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// pump does what the driver does: sync, send, apply, advance.
func (w *network) pump(s *server) {
	for s.running() && s.node.HasReady() {
		b := s.node.Ready()
		if s.failSync {
			s.up = false // an unsynced promise may not leave
			return
		}
		if w.slowDisks && w.rng.IntN(4) == 0 {
			s.pending = &b
			s.syncedAt = w.now.Add(time.Duration(w.rng.Int64N(int64(50 * time.Millisecond))))
			break
		}
		w.finish(s, &b)
	}
	if until := s.node.Status().LeaseUntil; until.After(s.published) {
		s.published = until
	}
	w.checkLeases()
}

// finish does what follows the sync of a batch.
func (w *network) finish(s *server, b *Batch) {
	s.disk.save(b)
	w.noteLeader(s, b.SoftState)
	for _, m := range b.Messages {
		w.post(m)
	}
	if b.Snapshot != nil {
		s.restoreState(*b.Snapshot)
		w.snapshots++
	}
	for _, e := range b.Committed {
		w.apply(s, e)
	}
	s.reads = append(s.reads, b.ReadStates...)
	s.node.Advance()
}

// synced ends a slow sync.
func (w *network) synced(s *server) {
	b := s.pending
	s.pending = nil
	w.finish(s, b)
	w.pump(s)
}

func (w *network) apply(s *server, e Entry) {
	if e.Index != s.at+1 {
		w.t.Fatalf("%s applied %d after %d", s.id, e.Index, s.at)
	}
	s.at = e.Index
	if e.Kind == Proposal {
		s.applied = append(s.applied, string(e.Data))
	}
	if e.Index > uint64(len(w.committed)) {
		w.committed = append(w.committed, e)
		return
	}
	first := w.committed[e.Index-1]
	if first.Term != e.Term || string(first.Data) != string(e.Data) {
		w.t.Fatalf("%s applied %+v where %+v was committed", s.id, e, first)
	}
}

func (w *network) noteLeader(s *server, soft SoftState) {
	if soft.Role != Leader {
		return
	}
	if other, ok := w.leaders[soft.Term]; ok && other != s.id {
		w.t.Fatalf("term %d has two leaders, %s and %s", soft.Term, other, s.id)
	}
	w.leaders[soft.Term] = s.id
}

// checkLeases counts the holders at this instant of true time. What a node
// once told of its lease counts, also after it stepped down or was frozen.
func (w *network) checkLeases() {
	var holder ID
	for _, s := range w.servers {
		if !s.up || !s.clock(w.now).Before(s.published) {
			continue
		}
		if holder != "" {
			w.t.Fatalf("%s and %s hold a lease at the same time", holder, s.id)
		}
		holder = s.id
	}
}

func (w *network) post(m Message) {
	if w.cut != nil && w.cut(m.From, m.To) || w.rng.Float64() < w.loss {
		return
	}
	w.posted[m.Kind]++
	copies := 1
	if w.rng.Float64() < w.doubles {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond
		if w.doubles > 0 { // with doubles, also late and reordered, some very late
			delay += time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
			if w.rng.IntN(20) == 0 {
				delay += time.Duration(w.rng.Int64N(int64(2 * time.Second)))
			}
		}
		w.wire = append(w.wire, delivery{w.now.Add(delay), w.now, m})
	}
}

// run lets true time pass, event by event.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for w.step(end) {
	}
	w.now = end
}

// until runs until the condition holds and fails after a limit.
func (w *network) until(limit time.Duration, what string, condition func() bool) {
	w.t.Helper()
	end := w.now.Add(limit)
	for !condition() {
		if !w.step(end) {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// step does the next event before end.
func (w *network) step(end time.Time) bool {
	at, do := end, func() {}
	for _, s := range w.servers {
		if !s.running() {
			continue
		}
		due := trueStart.Add(time.Duration(float64(s.node.NextTick().Sub(trueStart))/s.rate) + 1)
		if due.Before(at) {
			at, do = due, func() { s.node.Tick(s.clock(w.now)); w.pump(s) }
		}
		if s.pending != nil && s.syncedAt.Before(at) {
			at, do = s.syncedAt, func() { w.synced(s) }
		}
	}
	if i := w.nextDelivery(); i >= 0 && w.wire[i].at.Before(at) {
		d := w.wire[i]
		at, do = d.at, func() { w.wire = slices.Delete(w.wire, i, i+1); w.deliver(d) }
	}
	if !at.Before(end) {
		return false
	}
	if at.After(w.now) {
		w.now = at
	}
	do()
	return true
}

func (w *network) nextDelivery() int {
	next := -1
	for i := range w.wire {
		if next < 0 || w.wire[i].at.Before(w.wire[next].at) {
			next = i
		}
	}
	return next
}

// deliver finds the process that has the address of the recipient now: a voter
// with a new ID has the address of its old self.
func (w *network) deliver(d delivery) {
	address, _, _ := strings.Cut(string(d.m.To), "-")
	for _, s := range w.servers {
		own, _, _ := strings.Cut(string(s.id), "-")
		if own != address || !s.up {
			continue
		}
		if !s.frozenAt.IsZero() {
			s.inbox = append(s.inbox, d)
			continue
		}
		w.receive(s, d.m, s.clock(w.now))
	}
}

func (w *network) receive(s *server, m Message, now time.Time) {
	if w.rng.IntN(8) == 0 {
		m = w.overTheWire(m)
	}
	if err := s.node.Step(now, m); err != nil {
		w.t.Fatalf("%s: %v", s.id, err)
	}
	if w.crashes && w.rng.IntN(300) == 0 {
		w.crash(s)
		return
	}
	w.pump(s)
}

func (w *network) overTheWire(m Message) Message {
	encoded, err := EncodeMessage(&m)
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	decoded, err := DecodeMessage(encoded)
	if err != nil {
		w.t.Fatalf("decode of %s: %v", encoded, err)
	}
	return decoded
}
