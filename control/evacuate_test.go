package control

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/control/state"
	"celeryport/membership"
	"celeryport/upstream"
	"celeryport/verdict"
)

// setEvacuated sends an order about a zone to an instance until its outcome is known.
func (f *fleet) setEvacuated(at *testNode, zone string, evacuated bool) {
	f.t.Helper()
	f.await("an evacuation in force", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return at.node.SetEvacuated(ctx, zone, evacuated) == nil
	})
}

// Guards against an evacuation that is acknowledged while an instance still sends work to the
// zone.
func TestEvacuationIsAcknowledgedOnceAllInstancesApplyIt(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 5)
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	zone := f.members[0].process.AvailabilityZone
	for n, evacuated := range []bool{true, true, false, false, true} {
		f.setEvacuated(f.members[n%3], zone, evacuated)
		for _, m := range f.members {
			if m.node.View().Evacuated.Covers(zone) != evacuated {
				t.Fatalf("order %d is acknowledged, but %s has evacuated %v", n, m.process.Name, !evacuated)
			}
		}
	}
}

// Guards against an evacuation that is forgotten when a settings change and the loss of all
// processes follow its acknowledgement at once.
func TestEvacuationSurvivesTheLossOfAllProcesses(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 3)
	first := f.apply(0, "a", testTree(1)).Revision
	f.awaitInstalled(first)
	zone := f.members[0].process.AvailabilityZone
	f.setEvacuated(f.members[1], zone, true)
	f.apply(first, "b", testTree(2))
	for _, m := range f.members {
		f.crash(m)
	}
	for _, m := range f.members[:3] {
		f.start(m, nil)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fresh := f.add(len(f.members), false, listener)
	f.await("the evacuation at an instance without a disk", func() bool {
		v := fresh.node.View()
		return v.Tree != nil && v.Evacuated.Covers(zone)
	})
}

// Guards against an instance that starts while there is no leader and sends work to a zone
// that was evacuated before.
func TestProvisionalFleetNamesEvacuatedZones(t *testing.T) {
	c := &core{
		known: upstream.NewRegistry(time.Second), members: newMemberList(), log: logrus.New(), timing: testTiming(), restoredAt: map[string]time.Time{},
	}
	list := state.New().Evacuated().With(7, "z1", true)
	remembered := rememberedOf(&View{Upstreams: &upstream.Snapshot{}, Evacuated: list})
	c.addRemembered(began, &remembered)
	if !c.evacuated.Covers("z1") {
		t.Error("the remembered fleet does not name the evacuated zone")
	}
	c.applyEvacuated(began, list.With(9, "z1", false))
	c.addRemembered(began, &remembered)
	if c.evacuated.Covers("z1") {
		t.Error("a remembered fleet undoes a later order")
	}
}

// Guards against an acknowledgement that never comes because an instance is cut off, and
// against one that comes while that instance may still hold a lease.
func TestCutOffInstanceDelaysAnEvacuationUntilItsLeaseEnds(t *testing.T) {
	timing := membership.Timing{Lease: time.Second, Margin: time.Second, Retention: time.Minute}
	table := membership.NewTable(began, timing)
	now := began.Add(time.Minute)
	report := func(name string, at time.Time, evacuated uint64) {
		table.RecordForwarded(at, 0, membership.Instance{Name: name, Incarnation: 1, Evacuated: evacuated})
	}
	report("reached", now, 5)
	report("cut off", now, 4)
	if table.EvacuationInForce(now.Add(timing.Lease), 5) {
		t.Error("in force although an instance with a lease has not applied it")
	}
	later := now.Add(timing.Lease + timing.Margin + time.Millisecond)
	report("reached", later, 5)
	if !table.EvacuationInForce(later, 5) {
		t.Error("not in force although the lease of the instance that is cut off has ended")
	}
}

func TestUnknownZoneIsNotEvacuated(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 1)
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	f.await("a refusal", func() bool {
		err := f.members[3].node.SetEvacuated(t.Context(), "nowhere", true)
		return err != nil && verdict.From(err).Reason == verdict.ReasonNotFound
	})
	var status ZonesStatus
	f.ask(CommandZones, nil, &status)
	if slices.ContainsFunc(status.Zones, func(z ZoneStatus) bool { return z.Name == "nowhere" || z.Evacuated }) {
		t.Errorf("zones %+v", status.Zones)
	}
}
