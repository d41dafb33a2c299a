package control

import (
	"fmt"
	"net"
	"testing"
	"time"

	"celeryport/settings"
)

func TestUnresponsiveVoterDoesNotDelayFindingTheLeader(t *testing.T) {
	// The machine of a voter has lost its power: it sends no TCP reset, and calls to it
	// hang. An instance that asked the voters in sequence would be stuck in a call to the
	// dead machine while another voter leads, and its callers would be served by old
	// settings, or, after a start, not at all.
	f := newFleet(t, 3, 0)
	f.apply(0, "first", testTree(1))
	leader := f.leader()
	var unreachable, other *testNode
	for _, m := range f.members {
		switch {
		case m == leader:
		case unreachable == nil:
			unreachable = m
		default:
			other = m
		}
	}
	f.network.partition(unreachable.process.ControlListen)
	f.timing.Call = time.Hour // an instance that waits for the dead machine exceeds the test's time limit
	f.timing.Search = time.Hour
	f.voters = []settings.Member{
		{ID: "other", Address: other.process.ControlListen},
		{ID: "unreachable", Address: unreachable.process.ControlListen},
		{ID: "leader", Address: leader.process.ControlListen},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	joined := f.add(len(f.members), false, listener)
	f.await("settings at the new instance", func() bool { return joined.node.View().Tree != nil })
}

func TestInstanceWithoutSettingsFindsARestartedVoterAtOnce(t *testing.T) {
	// The whole fleet has lost power. An instance is up first, and what it sends to the
	// voters is lost or rejected. If it waited for the end of these calls before it asked
	// again, its callers would be rejected although the voters are up.
	for _, unreachable := range []bool{false, true} {
		f := newFleet(t, 3, 0)
		accepted := f.apply(0, "first", testTree(1))
		f.awaitInstalled(accepted.Revision)
		for _, m := range f.members {
			f.crash(m)
		}
		back := f.members[0]
		usual := f.timing
		f.timing.Search, f.timing.Call, f.timing.Retry = time.Hour, time.Hour, time.Hour // an instance that waits for one of them exceeds the test's time limit
		if unreachable {
			f.network.partition(back.process.ControlListen)
		}
		f.voters = []settings.Member{{ID: "back", Address: back.process.ControlListen}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		bare := f.add(len(f.members), false, listener)
		f.await("a call", func() bool { return bare.node.clients.Stats().Calls.Load() > 0 })
		f.timing = usual
		f.start(back, nil)
		f.network.reconnect(back.process.ControlListen)
		f.await("settings at the new instance", func() bool { return bare.node.View().Tree != nil })
	}
}

func TestRestartedFleetSpreadsItsRequestsOverTheVoters(t *testing.T) {
	// All processes were killed, and hundreds of instances request the whole settings from
	// a few small voters at the same moment. If each asked every voter, each voter would
	// answer all of them, and the callers of the instances answered last would be rejected
	// in the meantime.
	f := newFleet(t, 3, 0)
	accepted := f.apply(0, "first", testTree(1))
	f.awaitInstalled(accepted.Revision)
	for _, m := range f.members {
		f.crash(m)
	}
	bound, err := net.Listen("tcp", f.members[0].process.ControlListen) // instances that ask before the node serves are kept waiting
	if err != nil {
		t.Fatal(err)
	}
	f.start(f.members[0], bound) // no leader without a majority
	usual := f.timing
	f.timing.Retry, f.timing.Stagger, f.timing.Search = time.Hour, time.Hour, time.Hour
	f.timing.Probe, f.timing.Call = time.Hour, time.Hour // also limit the first connection and call, which may take longer on a busy machine
	f.voters = nil
	for i := range 3 {
		f.voters = append(f.voters, settings.Member{ID: string(rune('a' + i)), Address: f.members[0].process.ControlListen})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bare := f.add(len(f.members), false, listener)
	f.timing = usual
	f.await("settings at the new instance", func() bool { return bare.node.View().Tree != nil })
	if calls := bare.node.clients.Stats().Calls.Load(); calls != 1 {
		t.Errorf("%d voters were asked, want 1", calls)
	}
}

func TestRotatedListsDiffer(t *testing.T) {
	list := []string{"a", "b", "c"}
	firsts := map[string]int{}
	for i := range 300 {
		got := rotated(list, fmt.Sprint("instance-", i))
		if len(got) != 3 || got[0] == got[1] || got[1] == got[2] {
			t.Fatalf("%v is not a rotation of %v", got, list)
		}
		firsts[got[0]]++
	}
	if firsts["a"] < 60 || firsts["b"] < 60 || firsts["c"] < 60 {
		t.Errorf("first elements for 300 names: %v", firsts)
	}
}
