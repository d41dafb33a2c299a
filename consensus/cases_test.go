package consensus

import (
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
