package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"celeryport/control/state"
)

// putDocument puts a document at one node and repeats it until the outcome is known.
func (f *fleet) putDocument(at *testNode, version uint64, text []byte) state.Outcome {
	f.t.Helper()
	var outcome state.Outcome
	f.await(fmt.Sprintf("document %d answered", version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		outcome, err = at.node.PutDocument(ctx, version, text)
		return err == nil
	})
	return outcome
}

// readAccepted reads the accepted document at one node and repeats the read until it
// succeeds.
func (f *fleet) readAccepted(at *testNode) *Accepted {
	f.t.Helper()
	var found *Accepted
	f.await("a confirmed read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		found, err = at.node.ReadAccepted(ctx)
		return err == nil
	})
	return found
}

func TestHighestVersionWinsInAnyOrder(t *testing.T) {
	// Two operators send documents at the same time, an acknowledgement is lost and the
	// document is sent again to another instance, and an old document arrives late. If
	// anything but the highest version came into force, an operator's change would be
	// undone silently.
	f := newFleet(t, 3, 1)
	if got := f.putDocument(f.members[0], 7, testTree(7)); got.Kind != state.Accepted {
		t.Fatalf("the first document: %+v", got)
	}
	later := f.putDocument(f.members[1], 9, testTree(9))
	tests := []struct {
		name    string
		at      int
		version uint64
		text    []byte
	}{
		{"an older one", 2, 8, testTree(8)},
		{"the same again, at another voter", 2, 9, testTree(9)},
		{"other content under the same version", 0, 9, testTree(10)},
		{"the same again, at an instance that is not a voter", 3, 9, testTree(9)},
	}
	for _, test := range tests {
		if got := f.putDocument(f.members[test.at], test.version, test.text); got.Kind != state.Superseded {
			t.Errorf("%s: %+v", test.name, got)
		}
	}
	for i := range f.members {
		if found := f.readAccepted(f.members[i]); found.Revision.Version != 9 || string(found.Text) != string(testTree(9)) {
			t.Errorf("instance %d reads version %d", i, found.Revision.Version)
		}
	}
	f.awaitInstalled(later.Revision)
}

func TestFaultyDocumentChangesNothing(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.putDocument(f.members[0], 1, testTree(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if outcome, err := f.leader().node.PutDocument(ctx, 2, []byte("[nonsense")); err == nil {
		t.Errorf("accepted: %+v", outcome)
	}
	if found := f.readAccepted(f.members[0]); found.Revision.Version != 1 {
		t.Errorf("version %d is accepted", found.Revision.Version)
	}
}

func TestPartitionedLeaderAnswersNoRead(t *testing.T) {
	// A leader is partitioned and does not know yet that the others have elected a new one
	// and accepted a change. A read answered by it would show the operator the state
	// before the change.
	f := newFleet(t, 3, 0)
	f.putDocument(f.members[0], 1, testTree(1))
	old := f.leader()
	f.network.partition(old.process.ControlListen)
	var other *testNode
	for _, m := range f.members {
		if m != old {
			other = m
		}
	}
	f.putDocument(other, 2, testTree(2))
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if found, err := old.node.ReadAccepted(ctx); err == nil && found.Revision.Version < 2 {
		t.Errorf("the partitioned leader read version %d", found.Revision.Version)
	}
}
