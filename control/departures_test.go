package control

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control/state"
	"celeryport/departure"
	"celeryport/upstream"
)

// engineAt returns an announcement of an engine of the tests.
func engineAt(name, address string) *upstream.Announcement {
	return &upstream.Announcement{Name: name, Incarnation: 1, Address: address, Targets: []string{"m"}}
}

// leave lets an engine leave through a node and waits for the acknowledgement.
func (f *fleet) leave(at *testNode, name string) {
	f.t.Helper()
	f.await(name+" leaves", func() bool {
		ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
		defer cancel()
		return at.node.Leave(ctx, name, upstream.UnknownIncarnation) == nil
	})
}

// awaitRemembered waits until the file of each voter names a given upstream or no longer names it.
func (f *fleet) awaitRemembered(voters []*testNode, name string, want bool) {
	f.t.Helper()
	for _, m := range voters {
		f.await("the file of the fleet", func() bool {
			data, err := os.ReadFile(filepath.Join(m.process.DataFolder, rememberedFile))
			return err == nil && bytes.Contains(data, []byte(`"`+name+`"`)) == want
		})
	}
}

// usable reports whether a node may send requests to an upstream.
func (n *testNode) usable(name string) bool {
	for _, u := range n.node.View().Upstreams.Upstreams {
		if u.Announcement.Name == name {
			return u.State != upstream.Leaving
		}
	}
	return false
}

// checkLeft checks that no running node uses an upstream that has left, once they all know what the leader
// knows, and that a new one at its address is used.
func (f *fleet) checkLeft(at *testNode, left *upstream.Announcement) {
	f.t.Helper()
	f.awaitSeen(engineAt("marker", "10.0.0.3:9"), at, upstream.Fresh)
	f.checkUnused(left.Name)
	f.awaitSeen(engineAt("successor", left.Address), at, upstream.Fresh)
	f.checkUnused(left.Name)
}

func (f *fleet) checkUnused(name string) {
	f.t.Helper()
	for _, m := range f.members {
		if m.stop != nil && m.usable(name) {
			f.t.Errorf("%s uses %s, which has left", m.process.Name, name)
		}
	}
}

// Guards against requests to an engine that has left, after all processes were killed: right after the
// acknowledgement, or later, when an announcement from before the leave arrives.
func TestEngineThatLeftStaysOutAfterTheLossOfAllProcesses(t *testing.T) {
	cases := map[string]struct{ stored, late bool }{
		"killed right after the acknowledgement":   {},
		"killed later, then a late announcement":   {stored: true, late: true},
		"killed at once, then a late announcement": {late: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newAttachingFleet(t, 3, 2)
			f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
			voters := f.members[:3]
			left := engineAt("left", "10.0.0.1:9")
			f.awaitSeen(left, voters[0], upstream.Fresh)
			f.awaitSeen(engineAt("stays", "10.0.0.2:9"), voters[1], upstream.Fresh)
			f.awaitRemembered(voters, "left", true)
			f.awaitRemembered(voters, "stays", true)
			f.leave(voters[2], "left")
			if c.stored {
				f.awaitRemembered(voters, "left", false)
			}
			f.loseAll()
			if c.late {
				voters[1].node.Announce(*left)
			}
			f.checkLeft(voters[0], left)
		})
	}
}

// Guards against requests to an engine that has left, after the loss of a disk, of the leader and of all processes,
// once the departure is only in a snapshot.
func TestDepartureOutlivesADiskTheLeaderAndTheLog(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, 3, 0, func(timing *Timing) { timing.Compact = 8 })
	base := f.apply(0, "a", testTree(1)).Revision
	f.awaitInstalled(base)
	left := engineAt("left", "10.0.0.1:9")
	f.awaitSeen(left, f.members[0], upstream.Fresh)
	f.leave(f.members[1], "left")
	for i := range 12 {
		base = f.apply(base, fmt.Sprint("order", i), testTree(i+2)).Revision
	}
	dead := f.members[0]
	old := f.voterID(dead)
	f.crash(dead)
	replacement := f.join()
	f.awaitReplaced(old, replacement)
	f.crash(f.leader())
	f.leader()
	for _, m := range f.members {
		if m.stop != nil {
			f.crash(m)
		}
	}
	for _, m := range f.members[1:] {
		f.start(m, nil)
	}
	f.leader()
	replacement.node.Announce(*left)
	f.checkLeft(f.members[1], left)
}

// Guards against a leave that is acknowledged although no majority can store it, against requests to the engine
// meanwhile, and against an engine that is never acknowledged because its first request failed.
func TestLeaveIsAcknowledgedOnlyWhenItIsStored(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 2)
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	f.awaitSeen(engineAt("left", "10.0.0.1:9"), f.members[0], upstream.Fresh)
	for _, m := range f.members[:3] {
		m.disk.full.Store(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := f.members[0].node.Leave(ctx, "left", upstream.UnknownIncarnation); err == nil {
		t.Error("the leave was acknowledged while no disk took it")
	}
	if f.members[0].usable("left") {
		t.Error("the instance that knows of the leave uses the engine")
	}
	for _, m := range f.members[:3] {
		m.disk.full.Store(false)
	}
	f.leave(f.members[1], "left")
	f.await("no instance uses it", func() bool {
		for _, m := range f.members {
			if m.usable("left") {
				return false
			}
		}
		return true
	})
}

// Guards against an engine that asks to leave before the asked voter knows it and is used once it is known.
func TestLeaveOfAnUnknownEngineIsStored(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 2)
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	f.leave(f.members[1], "left")
	late := engineAt("left", "10.0.0.1:9")
	late.Sequence = 7
	for _, m := range f.members[:3] {
		m.node.Announce(*late)
	}
	f.checkLeft(f.members[2], late)
	if err := f.members[0].node.Leave(t.Context(), strings.Repeat("x", departure.MaxNameBytes+1), 1); !errors.Is(err, errNoDeparture) {
		t.Errorf("a name without bound: %v", err)
	}
}

// departuresVersion returns the log index of the last departure and the number of departures at a voter.
func (n *testNode) departuresVersion(t *testing.T) (index uint64, departed int) {
	t.Helper()
	err := n.node.do(t.Context(), func(time.Time) {
		m := n.node.core.group.machine
		index, departed = m.DeparturesVersion(), len(m.Departed())
	})
	if err != nil {
		t.Fatal(err)
	}
	return index, departed
}

// Guards against a sync of the voters' disks for each of hundreds of engines that leave together, which delays their
// acknowledgements beyond the second after which they ask again.
func TestEnginesThatLeaveTogetherShareLogEntries(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 1)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	const engines = 300
	var leaving sync.WaitGroup
	for n := range engines {
		leaving.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if err := f.members[n%3].node.Leave(ctx, fmt.Sprint("e", n), upstream.UnknownIncarnation); err != nil {
				t.Errorf("e%d: %v", n, err)
			}
		})
	}
	leaving.Wait()
	last, departed := f.leader().departuresVersion(t)
	if departed != engines || last > first.Revision+engines/5 {
		t.Errorf("%d departures are stored by entry %d, the settings were entry %d", departed, last, first.Revision)
	}
}

// Guards against a log whose state grows with each engine that ever left.
func TestDeparturesAreDroppedAfterTheirRetention(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, 3, 0, func(timing *Timing) { timing.Departed = time.Second })
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	f.leave(f.members[0], "left")
	if _, departed := f.leader().departuresVersion(t); departed != 1 {
		t.Errorf("%d departures are stored", departed)
	}
	f.await("the departure is dropped everywhere", func() bool {
		for _, m := range f.members {
			if _, departed := m.departuresVersion(t); departed > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a log entry that a voter of the previous version cannot decode, and against engines that can't leave
// during an upgrade.
func TestLeaveBesideAnOldVoterIsKeptInMemory(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 1)
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	f.awaitSeen(engineAt("left", "10.0.0.1:9"), f.members[0], upstream.Fresh)
	leader := f.leader()
	old := f.members[0]
	if old == leader {
		old = f.members[1]
	}
	f.stateLogVersion(old, state.VersionIdentities)
	f.await("the leader knows the old voter", func() bool {
		known := false
		_ = leader.node.do(t.Context(), func(time.Time) {
			known = leader.node.core.leader != nil && !leader.node.core.leader.votersSupport(state.VersionDepartures)
		})
		return known
	})
	f.leave(f.members[2], "left")
	if _, departed := leader.departuresVersion(t); departed != 0 || leader.usable("left") {
		t.Errorf("%d departures are in the log, used %t", departed, leader.usable("left"))
	}
	f.stateLogVersion(old, state.LogVersion)
	f.await("the departure is stored", func() bool {
		f.leave(f.members[2], "left")
		_, departed := leader.departuresVersion(t)
		return departed == 1
	})
}

// Guards against engines that can't leave while a voter of the previous version leads, which doesn't know the command.
func TestUnknownCommandIsRecognised(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	_, err := f.members[1].node.Ask(t.Context(), f.members[0].process.ControlListen, "upstream.unknown", nil)
	if !isUnknownCommand(err) || isUnknownCommand(errNotLeader) || isUnknownCommand(nil) {
		t.Errorf("an unknown command is answered with %v", err)
	}
}

// Guards against a leave without an incarnation that is acknowledged without effect, because a former incarnation of the
// engine has left and the asked voter does not know the present one yet.
func TestLeaveTakesThePresentIncarnation(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 0)
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	former, present := engineAt("e", "10.0.0.1:9"), engineAt("e", "10.0.0.1:9")
	former.Incarnation, present.Incarnation = 100, 200
	f.awaitSeen(former, f.members[0], upstream.Fresh)
	f.leave(f.members[0], "e")
	leader := f.leader()
	f.awaitSeen(present, leader, upstream.Fresh)
	asked := f.members[0]
	if asked == leader {
		asked = f.members[1]
	}
	if err := asked.node.do(t.Context(), func(time.Time) {
		c := asked.node.core
		c.known = upstream.NewRegistry(c.freshFor())
		c.applyDepartures()
	}); err != nil {
		t.Fatal(err)
	}
	f.leave(asked, "e")
	f.await("the present incarnation has left", func() bool { return !leader.usable("e") })
}
