package control

import (
	"context"
	"testing"
	"time"

	"celeryport/membership"
)

// loseAll ends all running nodes as if they were killed at this moment and starts them again.
func (f *fleet) loseAll() {
	f.t.Helper()
	for _, m := range f.members {
		m.disk.full.Store(true) // otherwise they may write until the last of their goroutines has ended
	}
	for _, m := range f.members {
		f.crash(m)
	}
	for _, m := range f.members {
		m.disk.full.Store(false)
		f.start(m, nil)
	}
	f.leader()
}

// Guards against an acknowledgement that the loss of all processes right after it takes back.
func TestAcknowledgementsOutliveTheLossOfAllProcesses(t *testing.T) {
	cases := map[string]struct {
		acknowledged func(f *fleet, base uint64)
		holds        func(f *fleet, m *testNode, base uint64) bool
	}{
		"settings": {
			func(f *fleet, base uint64) { f.apply(base, "later", testTree(2)) },
			func(_ *fleet, m *testNode, base uint64) bool {
				v := m.node.View()
				return v.Tree != nil && v.Tree.Revision > base
			},
		},
		"an evacuated zone": {
			func(f *fleet, _ uint64) { f.setEvacuated(f.members[1], f.members[0].process.AvailabilityZone, true) },
			func(f *fleet, m *testNode, _ uint64) bool {
				return m.node.View().Evacuated.Covers(f.members[0].process.AvailabilityZone)
			},
		},
		"a zone in use again": {
			func(f *fleet, _ uint64) {
				zone := f.members[0].process.AvailabilityZone
				f.setEvacuated(f.members[1], zone, true)
				f.setEvacuated(f.members[2], zone, false)
			},
			func(f *fleet, m *testNode, _ uint64) bool {
				list := m.node.View().Evacuated
				return list != nil && !list.Covers(f.members[0].process.AvailabilityZone)
			},
		},
		"a released request": {
			func(f *fleet, _ uint64) {
				f.reportCrashes(f.members[3:])
				f.awaitQuarantine(f.members[3:], true)
				var released ReleaseRequest
				f.ask(CommandQuarantineRelease, ReleaseRequest{Request: poison}, &released)
			},
			func(_ *fleet, m *testNode, _ uint64) bool {
				return m.node.View().Quarantine.Version() > 0 && !m.node.View().Quarantine.Contains(poison)
			},
		},
		"a draining instance": {
			func(f *fleet, _ uint64) {
				ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
				defer cancel()
				if err := f.members[3].node.Drain(ctx); err != nil {
					f.t.Error(err)
				}
			},
			nil,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newAttachingFleet(t, 3, 3)
			base := f.apply(0, "a", testTree(1)).Revision
			f.awaitInstalled(base)
			c.acknowledged(f, base)
			if c.holds == nil {
				f.checkDrainingOutlivesVoters(f.members[3])
				return
			}
			f.loseAll()
			for _, m := range f.members {
				f.await("what was acknowledged, at "+m.process.Name, func() bool { return c.holds(f, m, base) })
			}
		})
	}
}

// checkDrainingOutlivesVoters loses all voters and checks that the others learn again that an instance drains, which
// states so itself for as long as it runs.
func (f *fleet) checkDrainingOutlivesVoters(draining *testNode) {
	f.t.Helper()
	for _, m := range f.members[:3] {
		f.crash(m)
	}
	for _, m := range f.members[:3] {
		f.start(m, nil)
	}
	f.await("the others know", func() bool {
		for _, i := range f.members[0].node.View().Instances {
			if i.Name == draining.process.Name {
				return i.State == membership.Draining
			}
		}
		return false
	})
}

// Guards against a key that is won twice because all voters were killed right after they had granted it.
func TestClaimsOutliveTheLossOfAllProcesses(t *testing.T) {
	t.Parallel()
	f := newClaimFleet(t, 3, 1)
	if first := claimAt(t, f.members[3], "k", "r"); first.State != Won {
		t.Fatalf("first claim: %+v", first)
	}
	f.loseAll()
	f.await("a new key is won", func() bool {
		if claimAt(t, f.members[0], "k", "other").State == Won {
			t.Fatal("the key was won a second time")
		}
		return claimAt(t, f.members[0], "new", "r").State == Won
	})
}
