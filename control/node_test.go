package control

import (
	"testing"

	"celeryport/control/state"
)

func TestSettingsReachEveryInstance(t *testing.T) {
	f := newFleet(t, 3, 2)
	first := f.apply(0, "order-1", testTree(1))
	if first.Kind != state.Accepted {
		t.Fatalf("first order: %+v", first)
	}
	f.awaitInstalled(first.Revision)
	lost := f.apply(0, "order-2", testTree(2))
	if lost.Kind != state.Conflict || lost.Winner == nil || lost.Winner.OrderID != "order-1" {
		t.Fatalf("order on an old base: %+v", lost)
	}
	if again := f.apply(0, "order-1", testTree(1)); again.Kind != state.Accepted || again.Revision != first.Revision {
		t.Fatalf("resent order: %+v", again)
	}
	var status SettingsStatus
	f.await("in force", func() bool {
		f.ask(CommandShow, nil, &status)
		return status.InForce == first.Revision
	})
	var instances InstancesStatus
	f.ask(CommandInstances, nil, &instances)
	if len(instances.Instances) != 5 {
		t.Fatalf("instances: %+v", instances)
	}
}
