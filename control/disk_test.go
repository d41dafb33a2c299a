package control

import (
	"context"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/consensus"
	"celeryport/control/state"
	"celeryport/wal"
)

// fullDisk is a file system that fails once full is set.
type fullDisk struct {
	wal.OS
	full atomic.Bool
}

func (d *fullDisk) Append(name string) (wal.File, error) { return d.wrap(d.OS.Append(name)) }
func (d *fullDisk) Create(name string) (wal.File, error) { return d.wrap(d.OS.Create(name)) }

func (d *fullDisk) wrap(f wal.File, err error) (wal.File, error) {
	if err == nil && d.full.Load() {
		return nil, syscall.ENOSPC
	}
	return &fullFile{f, d}, err
}

type fullFile struct {
	wal.File
	disk *fullDisk
}

func (f *fullFile) Sync() error {
	if f.disk.full.Load() {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

func TestVoterWithAFullDiskIsNotCounted(t *testing.T) {
	// The leader's disk fills up. If it continued without syncing, a change stored by only
	// one voter could count as accepted. The leader must stop taking part, and the other
	// voters must accept the operator's change.
	t.Parallel()
	f := newFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	old := f.leader()
	old.disk.full.Store(true)
	second := f.apply(first.Revision, "b", testTree(2))
	if second.Kind != state.Accepted {
		t.Fatalf("order with one full disk: %+v", second)
	}
	if now := f.leader(); now == old {
		t.Fatal("the voter with the full disk leads")
	}
	var failed error
	if err := old.node.do(t.Context(), func(time.Time) { failed = old.node.core.group.failed }); err != nil || failed == nil {
		t.Fatalf("the voter did not stop: %v, %v", failed, err)
	}
	for _, m := range f.members {
		if m != old {
			f.awaitInstalledAt(m, second.Revision)
		}
	}
	f.awaitInForce(second.Revision)
	if v := old.node.View(); v.Tree.Revision >= second.Revision {
		t.Fatal("settings were installed that are not on the disk")
	}
}

func TestVoterTakesPartAgainWhenItsDiskHasRoom(t *testing.T) {
	// A disk is full for some seconds. If its voter stayed out until a restart by hand,
	// the loss of another machine hours later would take the majority, and no change could
	// be made any more. The voter must rewrite and sync its state before it votes again:
	// the data of the failed write may exist only in the machine's memory.
	t.Parallel()
	f := newFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	full := f.leader()
	full.disk.full.Store(true)
	second := f.apply(first.Revision, "b", testTree(2))
	f.await("the voter stops", func() bool {
		var failed error
		err := full.node.do(t.Context(), func(time.Time) { failed = full.node.core.group.failed })
		return err == nil && failed != nil
	})
	full.disk.full.Store(false)
	f.await("the voter has caught up with the missed change", func() bool {
		var current uint64
		err := full.node.do(t.Context(), func(time.Time) {
			if full.node.core.group.node != nil {
				current = full.node.core.group.machine.Current().Number
			}
		})
		return err == nil && current == second.Revision
	})
	f.crash(f.leader())
	if third := f.apply(second.Revision, "c", testTree(3)); third.Kind != state.Accepted {
		t.Errorf("with the recovered voter as the second of two: %+v", third)
	}
}

// Guards against a voter on claims that rejects every claim until a restart because its disk was
// full for some seconds: with two such voters no request that must not be repeated can be sent.
func TestClaimsAreVotedOnAgainWhenTheDiskHasRoom(t *testing.T) {
	t.Parallel()
	f := newClaimFleet(t, 3, 1)
	caller := f.members[3]
	for _, m := range f.members[:2] {
		m.disk.full.Store(true)
	}
	f.await("two voters can't keep votes", func() bool {
		return claimAt(t, caller, "while full", "r").State == NoMajority
	})
	for _, m := range f.members[:2] {
		m.disk.full.Store(false)
	}
	attempts := 0
	f.await("a claim is won", func() bool {
		attempts++ // each attempt is another holder: voters abstain for one whose claim was released
		return claimAt(t, caller, "with room", strconv.Itoa(attempts)).State == Won
	})
}

// Guards against a fleet whose first start ends a voter, because the disk is full at the moment
// when the control group is founded.
func TestFoundingWaitsForTheDisk(t *testing.T) {
	t.Parallel()
	disk := &fullFounding{}
	disk.full.Store(true)
	options, hook := newVoterOptions(t, disk)
	node, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	await := func(what string) {
		for !logged(hook, what) {
			select {
			case err := <-ended:
				t.Fatalf("the node ended before: %s; %v", what, err)
			case <-time.After(time.Millisecond):
			}
		}
	}
	await("waiting for the data folder")
	disk.full.Store(false)
	await("control group founded")
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// fullFounding is a disk that has no room for the founding configuration while full is set.
type fullFounding struct{ fullDisk }

func (d *fullFounding) Create(name string) (wal.File, error) {
	if strings.HasPrefix(filepath.Base(name), foundingFile) {
		return d.fullDisk.Create(name)
	}
	return d.OS.Create(name)
}

func (d *fullFounding) Append(name string) (wal.File, error) { return d.OS.Append(name) }

// Guards against a voter that stays out of consensus until a restart, and meanwhile offers to found
// another group, because its snapshot could not be restored when its folder was opened again.
func TestVoterWhoseSnapshotCannotBeRestoredTriesAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	voter := f.members[0]
	if voter == f.leader() {
		voter = f.members[1]
	}
	var good consensus.Snapshot
	err := voter.node.do(t.Context(), func(now time.Time) {
		g := voter.node.core.group
		data, err := g.machine.Snapshot()
		if err != nil {
			t.Error(err)
		}
		if good, err = g.node.SnapshotAt(g.machine.Applied(), data); err != nil {
			t.Error(err)
		}
		bad := good
		bad.Data = []byte("{")
		if err := g.log.SaveSnapshot(bad); err != nil {
			t.Error(err)
		}
		g.fail(now, errors.New("the disk is full"))
	})
	if err != nil {
		t.Fatal(err)
	}
	tried := func() (failed, awaits bool, reason string) {
		if err := voter.node.do(t.Context(), func(time.Time) {
			g := voter.node.core.group
			failed, awaits, reason = g.failed != nil, g.awaitsFounding(), g.reopenReason
		}); err != nil {
			t.Fatal(err)
		}
		return failed, awaits, reason
	}
	f.await("an attempt to open the folder again", func() bool { _, _, reason := tried(); return reason != "" })
	if failed, awaits, reason := tried(); !failed || awaits {
		t.Errorf("the voter has given up (%t) or awaits a founding (%t) after: %s", !failed, awaits, reason)
	}
	if err := voter.node.do(t.Context(), func(time.Time) { err = voter.node.core.group.log.SaveSnapshot(good) }); err != nil {
		t.Fatal(err)
	}
	f.await("the voter takes part again", func() bool {
		failed, _, _ := tried()
		return !failed
	})
}
