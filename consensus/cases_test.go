package consensus

import (
	"errors"
	"slices"
	"testing"
	"time"

	"celeryport/verdict"
)

func alone(id ID) func(from, to ID) bool {
	return func(from, to ID) bool { return from == id || to == id }
}

func (w *network) follower() *server {
	leader := w.electLeader()
	for _, s := range w.servers {
		if s.running() && s != leader && leader.node.Status().Configuration.Voter(s.id) {
			return s
		}
	}
	w.t.Fatalf("no follower")
	return nil
}

// A partition cuts one voter off without closing a connection, for an hour, and
// then heals. An operator would notice that the working leader is deposed and
// changes stall although nothing is wrong any more.
func TestIsolatedVoterComesBackWithoutDisturbing(t *testing.T) {
	timing := Timing{Heartbeat: 2 * time.Second, ElectionMin: 10 * time.Second, Lease: 8 * time.Second}
	w := newNetworkWith(t, 1, 3, timing)
	w.until(time.Minute, "a leader", func() bool { return w.leader() != nil })
	leader, lost := w.electLeader(), w.follower()
	term := leader.node.Status().Term
	w.cut = alone(lost.id)
	w.run(time.Hour)
	w.commit(10)
	w.cut = nil
	w.run(time.Minute)
	if got := w.leader(); got != leader || got.node.Status().Term != term {
		t.Fatalf("leader %s of term %d gave way to %s of term %d", leader.id, term, got.id, got.node.Status().Term)
	}
	w.agree()
}

// The leader itself is cut off from both others. Callers on its side would go on
// being told that it leads, and their changes would hang or be lost.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	w := newNetwork(t, 2, 3)
	w.commit(5)
	old := w.electLeader()
	w.cut = alone(old.id)
	if !w.propose(old, "cut off") {
		t.Fatal("the leader can't know yet")
	}
	w.run(2 * w.timing.ElectionMin)
	if role := old.node.Status().Role; role == Leader {
		t.Fatal("a leader without a majority still leads")
	}
	if _, _, err := old.node.Propose(old.clock(w.now), nil); verdict.From(err).Verdict != verdict.NotRun {
		t.Fatalf("a follower took a proposal: %v", err)
	}
	w.run(5 * time.Second)
	w.commit(5)
	w.agree()
	if slices.Contains(old.applied, "cut off") {
		t.Fatal("a proposal without a majority was applied")
	}
}

// The leader's process is stopped by its host for longer than its lease and then
// goes on in the middle of its work. Two issuers of orders would be active at
// once. A message taken before the stop is handled with the time read then.
func TestFrozenLeaderWakesWithoutLease(t *testing.T) {
	w := newNetwork(t, 3, 3)
	w.commit(5)
	old := w.electLeader()
	if !old.node.HasLease(old.clock(w.now)) {
		t.Fatal("no lease to begin with")
	}
	w.freeze(old)
	w.run(5 * time.Second)
	if w.leader() == nil || w.leader() == old {
		t.Fatal("nobody took over")
	}
	if old.node.HasLease(old.clock(w.now)) {
		t.Fatal("the old lease still holds at the wake-up, before any message")
	}
	w.thaw(old)
	w.run(time.Second)
	if old.node.Status().Role == Leader {
		t.Fatal("the old leader leads on")
	}
	w.agree()
}

// A voter's disk is full, or a sync fails. If it answered all the same, a change
// would count as accepted that only one disk holds.
func TestFailedSyncIsNotCounted(t *testing.T) {
	w := newNetwork(t, 4, 3)
	w.commit(5)
	leader, bad := w.electLeader(), w.follower()
	for _, s := range w.servers {
		if s != leader && s != bad {
			s.up = false
		}
	}
	bad.failSync = true
	before := leader.node.Status().Commit
	w.propose(leader, "needs the bad disk")
	w.run(500 * time.Millisecond)
	if got := leader.node.Status().Commit; got != before {
		t.Fatalf("commit went from %d to %d with one good disk of three", before, got)
	}
	if bad.up {
		t.Fatal("the voter with the failed disk goes on")
	}
}

// The leader's own sync fails while both followers answer in time. It may not
// count its own copy, and stops.
func TestLeaderCountsItsOwnDiskOnlyAfterTheSync(t *testing.T) {
	w := newNetwork(t, 5, 1)
	w.commit(1)
	s := w.servers[0]
	before := s.node.Status().Commit
	if _, _, err := s.node.Propose(s.clock(w.now), []byte("x")); err != nil {
		t.Fatal(err)
	}
	b := s.node.Ready()
	if len(b.Entries) != 1 || len(b.Committed) != 0 || s.node.Status().Commit != before {
		t.Fatalf("committed before the sync: %+v", b)
	}
	if _, _, err := s.node.Propose(s.clock(w.now), []byte("during the sync")); err != nil {
		t.Fatal(err)
	}
	s.node.Advance()
	if got := s.node.Status().Commit; got != before+1 {
		t.Fatalf("commit %d after the sync of %d", got, before+1)
	}
}

// All voters lose power after a thousand changes, and start again.
func TestRestartAfterAThousandChanges(t *testing.T) {
	w := newNetwork(t, 6, 3)
	w.commit(1000)
	w.compact(w.servers[1])
	for _, s := range w.servers {
		w.crash(s)
	}
	for _, s := range w.servers {
		w.restart(s)
	}
	w.agree()
	if got := len(w.servers[0].applied); got != 1001 {
		t.Fatalf("%d changes after the restart", got)
	}
}

// A voter is away while 5,000 changes go by and the others compact their logs.
// It would be behind for minutes, or for ever, if it needed each change.
func TestSnapshotCatchUpIsOneTransfer(t *testing.T) {
	w := newNetwork(t, 7, 3)
	w.commit(5)
	late := w.follower()
	late.up = false
	for range 10 {
		w.commit(500)
	}
	w.compact(w.electLeader())
	w.run(10 * time.Second)
	w.restart(late)
	w.until(3*time.Second, "caught up", func() bool { return late.at >= uint64(len(w.committed)) })
	if w.snapshots != 1 || w.posted[SnapshotRequest] != 1 {
		t.Fatalf("%d snapshots were installed, %d sent", w.snapshots, w.posted[SnapshotRequest])
	}
	w.agree()
}

// The one message with the snapshot is lost. The voter would stay behind for
// ever, and the next loss of a voter would stop all changes.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	w := newNetwork(t, 14, 3)
	w.commit(5)
	late := w.follower()
	late.up = false
	w.commit(50)
	w.compact(w.electLeader())
	w.restart(late)
	w.until(5*time.Second, "a snapshot on its way", func() bool { return w.posted[SnapshotRequest] > 0 })
	w.wire = nil
	w.until(10*time.Second, "caught up", func() bool { return late.at >= uint64(len(w.committed)) })
}

// A voter comes back with a higher term than the leader's, from an election that
// nobody else remembers. It drops the leader's messages as old, and would stay
// out of the group for ever.
func TestVoterWithAHigherTermComesBack(t *testing.T) {
	w := newNetwork(t, 15, 3)
	w.commit(5)
	stray := w.follower()
	w.crash(stray)
	stray.disk.HardState = HardState{Term: 50, Vote: stray.id}
	w.run(time.Second)
	w.restart(stray)
	w.run(10 * time.Second)
	w.commit(1)
	w.agree()
}

// The leader hands over before it shuts down. If the target led while the old
// lease still held, two issuers would be active; if the target never answers,
// the group may not stay without a leader.
func TestTransferWaitsForTheLease(t *testing.T) {
	w := newNetwork(t, 11, 3)
	w.commit(5)
	old, target := w.electLeader(), w.follower()
	if err := old.node.TransferLeadership(old.clock(w.now), target.id); err != nil {
		t.Fatal(err)
	}
	w.pump(old)
	w.until(3*time.Second, "handover", func() bool { return w.leader() == target })
	w.agree()

	old, target = w.electLeader(), w.follower()
	target.up = false
	if err := old.node.TransferLeadership(old.clock(w.now), target.id); err != nil {
		t.Fatal(err)
	}
	if w.propose(old, "during the handover") {
		t.Fatal("a leader that hands over took a proposal")
	}
	w.run(4 * time.Second)
	w.commit(1)
}

// A deposed leader that has not noticed answers a read from its old state. The
// reader would miss a change that another was told is accepted.
func TestReadOfADeposedLeaderIsNotAnswered(t *testing.T) {
	w := newNetwork(t, 12, 3)
	w.commit(5)
	old := w.electLeader()
	read := func(s *server, context uint64) {
		if err := s.node.ReadIndex(s.clock(w.now), context); err != nil {
			t.Fatal(err)
		}
		w.pump(s)
	}
	read(old, 1)
	read(old, 2)
	w.run(50 * time.Millisecond)
	want := ReadState{Context: 2, Index: uint64(len(w.committed))}
	if len(old.reads) != 2 || old.reads[1] != want {
		t.Fatalf("reads %+v, want %+v", old.reads, want)
	}
	w.cut = alone(old.id)
	read(old, 3)
	w.run(3 * time.Second)
	w.commit(1)
	w.cut = nil
	w.run(time.Second)
	if len(old.reads) != 2 {
		t.Fatalf("a deposed leader answered %+v", old.reads[2:])
	}
}

// A leader loses its place with a proposal under way. The operator who is told
// "not run" would send it again, and it would count twice.
func TestDroppedProposalHasUnknownOutcome(t *testing.T) {
	var p Proposals
	outcomes := map[uint64]error{}
	for i := uint64(1); i <= 3; i++ {
		p.Add(i, 2, func(err error) { outcomes[i] = err })
	}
	p.Committed([]Entry{{Index: 1, Term: 2}, {Index: 2, Term: 3}})
	p.LeadershipLost()
	if outcomes[1] != nil {
		t.Fatalf("a committed proposal ended with %v", outcomes[1])
	}
	for i := uint64(2); i <= 3; i++ {
		var unknown *OutcomeUnknownError
		if !errors.As(outcomes[i], &unknown) || verdict.From(outcomes[i]).Verdict != verdict.MayHaveRun {
			t.Fatalf("proposal %d ended with %v", i, outcomes[i])
		}
	}
}
