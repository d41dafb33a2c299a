package control

import (
	"fmt"
	"testing"
	"time"

	"celeryport/control/state"
)

func TestIsolatedInstanceStopsBeforeAChangeIsInForce(t *testing.T) {
	// An instance is partitioned without an error and misses a change that revokes a right
	// of an organisation. If it continued to admit requests after operators were told that
	// the change is in force everywhere, the right would still be usable.
	t.Parallel()
	f := newFleet(t, 3, 2)
	first := f.apply(0, "a", testTree(1))
	f.awaitInForce(first.Revision)
	lost := f.members[4]
	f.network.partition(lost.process.ControlListen)
	second := f.apply(first.Revision, "b", testTree(2))
	f.awaitInForce(second.Revision)
	if until := lost.node.View().LeaseUntil; time.Now().Before(until) {
		t.Fatalf("in force while the isolated instance holds a lease for %v more", time.Until(until))
	}
	if lost.node.View().Tree.Revision != first.Revision {
		t.Fatal("the isolated instance was not isolated")
	}
	f.network.reconnect(lost.process.ControlListen)
	f.awaitInstalled(second.Revision)
}

func TestIsolatedLeaderGrantsNothing(t *testing.T) {
	// The leader is partitioned from the other voters, but one instance can still reach
	// it. The others elect a new leader and accept a change. If the old leader continued
	// to grant leases, that instance would admit requests by settings that are no longer
	// in force.
	t.Parallel()
	f := newFleet(t, 3, 1)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	old := f.leader()
	friend := f.members[3]
	f.network.partition(old.process.ControlListen, friend.process.ControlListen)
	second := f.apply(first.Revision, "b", testTree(2))
	f.awaitInForce(second.Revision)
	for _, m := range []*testNode{old, friend} {
		v := m.node.View()
		if time.Now().Before(v.LeaseUntil) && v.Tree.Revision < second.Revision {
			t.Fatalf("%s still admits by revision %d", m.process.Name, v.Tree.Revision)
		}
	}
	f.awaitInstalledAt(friend, second.Revision)
	f.network.reconnect(old.process.ControlListen)
	f.awaitInstalled(second.Revision)
}

func TestSuspendedLeaderGrantsNothing(t *testing.T) {
	// The leader's process is suspended while it works and resumes long after the others
	// have elected a new leader. If it answered the syncs in its queue with leases, their
	// senders would admit requests by settings that may have been replaced.
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
		t.Fatalf("lease %d ms before the suspension, %d ms after it (%v)", awake.LeaseMs, woken.LeaseMs, err)
	}
}

func TestNoMajorityNoAdmission(t *testing.T) {
	// Two of three voters die. No instance can determine which settings are in force, so
	// every instance stops admitting requests when its lease ends, and resumes when one
	// voter is back. In between, callers get rejections with the verdict not-run.
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
	// An operator's acknowledgement is lost, then the leader dies, the log is replaced by
	// snapshots, and every process restarts. The operator sends the order again and must
	// get its original outcome, and the settings must not revert.
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

// revisionOf returns the revision that a member has installed, 0 before the first.
func revisionOf(m *testNode) uint64 {
	if tree := m.node.View().Tree; tree != nil {
		return tree.Revision
	}
	return 0
}
