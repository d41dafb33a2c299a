package control

import (
	"net"
	"testing"
	"time"
)

// shiftedClock is a system clock that is off by a fixed duration.
type shiftedClock struct{ by time.Duration }

func (c shiftedClock) Now() time.Time { return time.Now().Add(c.by) }

// startDuplicate starts another process under the name of a running instance.
func (f *fleet) startDuplicate(of *testNode, by time.Duration) *testNode {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	n := &testNode{process: of.process, disk: &fullDisk{}, clock: shiftedClock{by}}
	n.process.ControlListen = listener.Addr().String()
	f.start(n, listener)
	f.t.Cleanup(n.halt)
	return n
}

func TestTwoProcessesOfOneName(t *testing.T) {
	// An instance is started a second time by mistake. If both counted as one instance,
	// confirmations of the one would hide that the other admits requests by old settings.
	t.Parallel()
	f := newFleet(t, 3, 1)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	old := f.members[3]
	newer := f.startDuplicate(old, 0)
	f.awaitInstalledAt(newer, first.Revision)
	f.await("the older process stops admitting requests", func() bool {
		return !time.Now().Before(old.node.View().LeaseUntil)
	})
	f.awaitInstalledAt(newer, first.Revision)
}

func TestRestartAfterTheClockWentBack(t *testing.T) {
	// A machine without a disk restarts with its clock an hour behind. Its incarnation
	// must still increase: otherwise the instance would be taken for its former process
	// and never admit requests again.
	t.Parallel()
	f := newFleet(t, 3, 1)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	old := f.members[3]
	f.crash(old)
	restarted := f.startDuplicate(old, -time.Hour)
	f.await("the restarted instance holds a lease", func() bool {
		v := restarted.node.View()
		return v.Tree != nil && v.LeaseUntil.After(restarted.clock.Now())
	})
}
