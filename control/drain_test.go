package control

import (
	"context"
	"testing"
	"time"

	"celeryport/membership"
)

func TestDrainingIsKnownAlthoughTheLeaderDies(t *testing.T) {
	// An instance starts draining at the moment when the leader dies. If the message were
	// lost, callers would be sent to the draining instance until it rejects them.
	t.Parallel()
	f := newFleet(t, 3, 2)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	f.crash(f.leader())
	draining := f.members[4]
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := draining.node.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	var status InstancesStatus
	f.ask(CommandInstances, nil, &status)
	for _, i := range status.Instances {
		if i.Name == draining.process.Name && i.State != membership.Draining {
			t.Fatalf("after Drain the leader says %v", i.State)
		}
	}
	f.await("every instance knows that it is draining", func() bool {
		for _, i := range f.members[3].node.View().Instances {
			if i.Name == draining.process.Name {
				return i.State == membership.Draining
			}
		}
		return false
	})
}
