package control

import (
	"testing"
	"time"

	"celeryport/membership"
)

func TestMembersNotNamedByTheLeaderAreGone(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	live := func(name string, incarnation uint64) membership.Instance {
		return membership.Instance{Name: name, Incarnation: incarnation}
	}
	l := newMemberList()
	l.merge(now, []membership.Instance{live("dead", 1), live("i1", 1)})
	l.startEpoch()
	l.merge(now, []membership.Instance{live("i1", 1), live("i2", 1)})
	if got := l.list(); got[0].State != membership.Live {
		t.Fatal("gone before the new leader can know every instance")
	}
	l.settle(now)
	states := map[string]membership.State{}
	for _, i := range l.list() {
		states[i.Name] = i.State
	}
	if states["dead"] != membership.Gone || states["i1"] != membership.Live || states["i2"] != membership.Live {
		t.Fatalf("states %v", states)
	}
	l.expire(now.Add(time.Hour+1), time.Hour)
	if len(l.list()) != 2 {
		t.Fatalf("kept forever: %+v", l.list())
	}
	l.merge(now, []membership.Instance{live("i1", 0)})
	if l.list()[0].Incarnation != 1 {
		t.Fatal("an older incarnation replaced a newer one")
	}
}

func TestDeadLeaderIsNotGivenToCallers(t *testing.T) {
	// The leader and an instance in the same rack die at the same time. The new leader has
	// never received a sync of either. If the others continued to give out their
	// addresses, callers would connect to dead instances forever.
	t.Parallel()
	f := newFleet(t, 3, 2)
	first := f.apply(0, "a", testTree(1))
	f.awaitInForce(first.Revision)
	f.awaitInstalled(first.Revision)
	dead := []*testNode{f.leader(), f.members[4]}
	for _, m := range dead {
		f.crash(m)
	}
	f.await("both are gone everywhere", func() bool {
		for _, m := range f.members {
			if m.stop != nil && !m.seesGone(dead) {
				return false
			}
		}
		return true
	})
}

func (n *testNode) seesGone(dead []*testNode) bool {
	gone := 0
	for _, i := range n.node.View().Instances {
		for _, d := range dead {
			if i.Name == d.process.Name && i.State == membership.Gone {
				gone++
			}
		}
	}
	return gone == len(dead)
}
