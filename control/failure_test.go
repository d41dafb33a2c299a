package control

import (
	"fmt"
	"testing"
	"time"

	"celeryport/control/state"
)

func TestIsolatedInstanceStopsBeforeAChangeIsInForce(t *testing.T) {
	// An instance is cut off silently and misses a change that takes a right away
	// from an organisation. If it went on to admit after operators were told that
	// the change is in force everywhere, the right would still be there.
	t.Parallel()
	f := newFleet(t, 3, 2)
	first := f.apply(0, "a", testTree(1))
	f.awaitInForce(first.Revision)
	lost := f.members[4]
	f.network.cut(lost.process.ControlListen)
	second := f.apply(first.Revision, "b", testTree(2))
	f.awaitInForce(second.Revision)
	if until := lost.node.View().LeaseUntil; time.Now().Before(until) {
		t.Fatalf("in force while the isolated instance holds a lease for %v more", time.Until(until))
	}
	if lost.node.View().Tree.Revision != first.Revision {
		t.Fatal("the cut did not hold")
	}
	f.network.heal(lost.process.ControlListen)
	f.awaitInstalled(second.Revision)
}

func TestIsolatedLeaderGrantsNothing(t *testing.T) {
	// The leader is cut off from the other voters, but one instance can still
	// reach it. The others elect a new leader and accept a change. If the old
	// leader went on to grant leases, that instance would admit by settings that
	// no longer hold.
	t.Parallel()
	f := newFleet(t, 3, 1)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	old := f.leader()
	friend := f.members[3]
	f.network.cut(old.process.ControlListen, friend.process.ControlListen)
	second := f.apply(first.Revision, "b", testTree(2))
	f.awaitInForce(second.Revision)
	for _, m := range []*testNode{old, friend} {
		v := m.node.View()
		if time.Now().Before(v.LeaseUntil) && v.Tree.Revision < second.Revision {
			t.Fatalf("%s still admits by revision %d", m.process.Name, v.Tree.Revision)
		}
	}
	f.awaitOne(friend, second.Revision)
	f.network.heal(old.process.ControlListen)
	f.awaitInstalled(second.Revision)
}

func TestFrozenLeaderGrantsNothing(t *testing.T) {
	// The leader's process is frozen in the middle of its work and wakes when the
	// others have long elected a new one. If it answered the syncs that wait in
	// its queue with leases, their senders would admit by settings that may have
	// been replaced meanwhile.
	t.Parallel()
	f := newFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	n := f.leader().node
	var awake, woken *syncResponse
	err := n.do(t.Context(), func(now time.Time) {
		request := &poll{request: &syncRequest{Instance: n.core.self}, arrivedAt: now}
		awake = n.core.leader.answer(now, request)
		woken = n.core.leader.answer(now.Add(time.Minute), request)
	})
	if err != nil || awake.LeaseMs == 0 || woken.LeaseMs != 0 {
		t.Fatalf("lease %d ms awake, %d ms after a freeze (%v)", awake.LeaseMs, woken.LeaseMs, err)
	}
}

func TestNoMajorityNoAdmission(t *testing.T) {
	// Two of three voters die. Nobody can say any more which settings hold, so
	// every instance stops admitting when its lease ends, and goes on when one
	// voter is back. Callers see refusals that say not-run in between.
	t.Parallel()
	f := newFleet(t, 3, 1)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	f.crash(f.members[0])
	f.crash(f.members[1])
	f.await("no lease anywhere", func() bool {
		for _, m := range f.members[2:] {
			if time.Now().Before(m.node.View().LeaseUntil) {
				return false
			}
		}
		return true
	})
	f.start(f.members[0], nil)
	f.awaitInstalled(first.Revision)
}

func TestResentOrderAfterEveryRestart(t *testing.T) {
	// An operator's answer is lost, then the leader dies, the log is replaced by
	// snapshots, and every process restarts. The operator sends the order again
	// and must learn what came of it, and the settings must not revert.
	t.Parallel()
	f := newFleetWith(t, 3, 1, func(timing *Timing) { timing.Compact = 8 })
	first := f.apply(0, "a", testTree(1))
	base := first.Revision
	for i := range 20 {
		next := f.apply(base, fmt.Sprintf("b%d", i), testTree(i))
		if next.Kind != state.Accepted {
			t.Fatalf("order %d: %+v", i, next)
		}
		base = next.Revision
	}
	f.crash(f.leader())
	if again := f.apply(0, "a", testTree(1)); again != first {
		t.Fatalf("after a change of leader: %+v, first %+v", again, first)
	}
	installed := map[*testNode]uint64{}
	for _, m := range f.members {
		installed[m] = revisionOf(m)
		f.crash(m)
	}
	for _, m := range f.members {
		f.start(m, nil)
		if m.process.Voter && revisionOf(m) < installed[m] {
			t.Fatalf("a restart reverted the installed settings from %d to %d", installed[m], revisionOf(m))
		}
	}
	if again := f.apply(0, "a", testTree(1)); again != first {
		t.Fatalf("after all restarts: %+v, first %+v", again, first)
	}
	f.awaitInstalled(base)
}

// revisionOf is the revision that a member has installed, 0 before the first.
func revisionOf(m *testNode) uint64 {
	if tree := m.node.View().Tree; tree != nil {
		return tree.Revision
	}
	return 0
}
