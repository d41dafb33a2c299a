package control

import (
	"testing"

	"celeryport/upstream"
)

// sees reports whether a node knows the upstream in the given state, with the given load.
func (n *testNode) sees(name string, state upstream.State, running int) bool {
	for _, u := range n.node.View().Upstreams.Upstreams {
		if u.Announcement.Name == name {
			return u.State == state && u.Announcement.Load.Running == running
		}
	}
	return false
}

// awaitSeen announces the upstream at one node repeatedly, as upstreams do, until every
// running node sees it in the given state.
func (f *fleet) awaitSeen(a *upstream.Announcement, at *testNode, state upstream.State) {
	f.t.Helper()
	f.await("every instance sees the upstream", func() bool {
		a.Sequence++
		at.node.Announce(*a)
		for _, m := range f.members {
			if m.stop != nil && !m.sees(a.Name, state, a.Load.Running) {
				return false
			}
		}
		return true
	})
}

func TestUpstreamsReachEveryInstance(t *testing.T) {
	// An upstream announces itself to one instance only. The other instances must learn of
	// it, of its load and of its leaving, even if the leader changes in between; otherwise
	// they send it no requests, or continue to send some after it has left.
	t.Parallel()
	f := newFleet(t, 3, 2)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	receiver := f.members[4]
	a := &upstream.Announcement{Name: "e1", Incarnation: 1, Address: "10.0.0.1:9", Targets: []string{"m"}}
	f.awaitSeen(a, receiver, upstream.Fresh)
	a.Load.Running = 7
	f.awaitSeen(a, receiver, upstream.Fresh)
	f.crash(f.leader())
	a.Load.Running = 9
	f.awaitSeen(a, receiver, upstream.Fresh)
	a.Leaving = true
	f.awaitSeen(a, receiver, upstream.Leaving)
}
