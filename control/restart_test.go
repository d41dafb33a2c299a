package control

import (
	"context"
	"testing"

	"celeryport/upstream"
)

// knows reports whether a node has the given incarnation of an upstream in the given
// state.
func (n *testNode) knows(name string, incarnation uint64, state upstream.State) bool {
	for _, u := range n.node.View().Upstreams.Upstreams {
		if u.Announcement.Name == name {
			return u.Announcement.Incarnation == incarnation && u.State == state
		}
	}
	return false
}

func (f *fleet) awaitKnown(name string, incarnation uint64, state upstream.State) {
	f.t.Helper()
	f.await("every instance knows the restarted upstream", func() bool {
		for _, m := range f.members {
			if m.stop != nil && !m.knows(name, incarnation, state) {
				return false
			}
		}
		return true
	})
}

func TestRestartUnderTheOldNameReachesEveryInstance(t *testing.T) {
	// An engine that drained restarts under its old ID and numbers its messages from one
	// again. Messages of the former process, a delayed heartbeat and its leaving
	// announcement, arrive afterwards. If one of them were accepted, the engine would get
	// no requests until its next restart.
	t.Parallel()
	f := newFleet(t, 3, 1)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	at := f.members[3]
	former := upstream.Announcement{Name: "e1", Incarnation: 100, Sequence: 9, Address: "10.0.0.1:9", Targets: []string{"m"}}
	at.node.Announce(former)
	f.awaitKnown("e1", 100, upstream.Fresh)
	former.Leaving, former.Sequence = true, 10
	at.node.Announce(former)
	f.awaitKnown("e1", 100, upstream.Leaving)

	present := upstream.Announcement{Name: "e1", Incarnation: 200, Sequence: 1, Address: "10.0.0.1:9", Targets: []string{"m"}}
	at.node.Announce(present)
	f.awaitKnown("e1", 200, upstream.Fresh)
	former.Sequence = 11
	f.members[0].node.Announce(former)
	if err := f.members[0].node.Leave(context.Background(), "e1", 100); err != nil {
		t.Fatal(err)
	}
	present.Sequence = 2
	at.node.Announce(present)
	f.awaitKnown("e1", 200, upstream.Fresh)
	if err := at.node.Leave(context.Background(), "e1", 200); err != nil {
		t.Fatal(err)
	}
	f.awaitKnown("e1", 200, upstream.Leaving)
}

func TestInvalidAnnouncementsAreCounted(t *testing.T) {
	// Another program sends announcements that name no valid engine, many times a second.
	// Operators must see that, and the log must not fill up with it.
	t.Parallel()
	f := newFleet(t, 1, 0)
	for range 50 {
		f.members[0].node.RefuseAnnouncement("e1", errStopped)
	}
	if got := f.members[0].node.RefusedAnnouncements(); got != 50 {
		t.Errorf("%d invalid announcements counted, want 50", got)
	}
}
