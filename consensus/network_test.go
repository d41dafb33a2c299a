package consensus

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// fataler is what *testing.T and *rapid.T share.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

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
	failSync  bool // the next sync fails
	reads     []ReadState
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
	snapshots int
}

var trueStart = time.Unix(1_000_000, 0)

func newNetwork(t fataler, seed uint64, size int) *network {
	return newNetworkWith(t, seed, size, DefaultTiming())
}

func newNetworkWith(t fataler, seed uint64, size int, timing Timing) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 7)), timing: timing, now: trueStart, leaders: map[uint64]ID{}}
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
	cfg := Config{ID: s.id, Timing: w.timing, Initial: initial, Trailing: 8}
	cfg.Rand = rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	node, err := New(cfg, s.disk)
	if err != nil {
		w.t.Fatalf("start of %s: %v", s.id, err)
	}
	s.node, s.up, s.frozenAt, s.inbox = node, true, time.Time{}, nil
	s.published = time.Time{}
	s.restoreState(s.disk.Snapshot)
	s.node.Tick(s.clock(w.now))
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
		s.disk.save(&b)
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
	if until := s.node.Status().LeaseUntil; until.After(s.published) {
		s.published = until
	}
	w.checkLeases()
}

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
	copies := 1
	if w.rng.Float64() < w.doubles {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond
		if w.doubles > 0 { // with doubles, also late and reordered
			delay += time.Duration(w.rng.Int64N(int64(300 * time.Millisecond)))
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
	if s.up && s.node.HasReady() && w.rng.IntN(2) == 0 {
		b := s.node.Ready()
		part := Batch{HardState: b.HardState, Entries: b.Entries}
		part.Entries = part.Entries[:w.rng.IntN(len(part.Entries)+1)]
		s.disk.save(&part)
	}
	s.up = false
}

func (w *network) restart(s *server) { w.start(s, Configuration{}) }

// leader returns the running leader of the highest term, or nil.
func (w *network) leader() *server {
	var found *server
	for _, s := range w.servers {
		if s.running() && s.node.Status().Role == Leader &&
			(found == nil || s.node.Status().Term > found.node.Status().Term) {
			found = s
		}
	}
	return found
}

// electLeader waits for a leader that committed an entry of its term.
func (w *network) electLeader() *server {
	w.t.Helper()
	w.until(20*time.Second, "a leader", func() bool {
		l := w.leader()
		return l != nil && l.node.HasLease(l.clock(w.now))
	})
	return w.leader()
}

func (w *network) propose(s *server, data string) bool {
	if !s.running() {
		return false
	}
	_, _, err := s.node.Propose(s.clock(w.now), []byte(data))
	w.pump(s)
	return err == nil
}

// commit proposes changes at the leader until it applied all of them.
func (w *network) commit(count int) {
	w.t.Helper()
	leader := w.electLeader()
	for range count {
		if !w.propose(leader, fmt.Sprintf("c%d", len(w.committed))) {
			w.t.Fatalf("%s refused a proposal", leader.id)
		}
		if w.rng.IntN(8) == 0 {
			w.run(2 * time.Millisecond)
		}
	}
	last := leader.node.Status().Last
	w.until(5*time.Second, "a commit", func() bool { return leader.at >= last })
}

// compact takes a snapshot on a server as the driver does.
func (w *network) compact(s *server) {
	data, _ := json.Marshal(s.applied)
	snap, err := s.node.SnapshotAt(s.at, data)
	if err != nil {
		return
	}
	s.disk.Snapshot = snap
	s.disk.Entries = slices.DeleteFunc(slices.Clone(s.disk.Entries), func(e Entry) bool { return e.Index <= snap.Index })
	if err := s.node.Compact(snap); err != nil {
		w.t.Fatalf("compact: %v", err)
	}
}

// agree heals everything and waits until all members in the configuration have
// applied the same.
func (w *network) agree() {
	w.t.Helper()
	w.cut, w.loss, w.doubles = nil, 0, 0
	leader := w.electLeader()
	before := len(w.committed)
	w.commit(1)
	config := leader.node.Status().Configuration
	w.until(60*time.Second, "all agree", func() bool {
		for _, m := range config.Members() {
			if s := w.server(m.ID); s.running() && s.at < uint64(len(w.committed)) {
				return false
			}
		}
		return true
	})
	if len(w.committed) <= before {
		w.t.Fatalf("nothing was committed after the network healed")
	}
	w.checkHistory(config)
}

// checkHistory compares what each member applied with the committed log.
func (w *network) checkHistory(config Configuration) {
	w.t.Helper()
	var want []string
	for _, e := range w.committed {
		if e.Kind == Proposal {
			want = append(want, string(e.Data))
		}
	}
	for _, m := range config.Members() {
		s := w.server(m.ID)
		if s.running() && !slices.Equal(s.applied, want) {
			w.t.Fatalf("%s applied %d changes, %d are committed, or they differ", s.id, len(s.applied), len(want))
		}
	}
}

func TestGroupElectsAndCommits(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		w := newNetwork(t, uint64(size), size)
		w.commit(100)
		w.agree()
	}
}
