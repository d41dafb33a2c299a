package control

import (
	"net"
	"testing"
	"time"

	"celeryport/settings"
)

func TestDarkVoterHidesNoLeader(t *testing.T) {
	// The machine of a voter has lost its power: it sends no reset, and calls to it
	// hang. An instance that asked one voter after the other would sit in a call to
	// the dead machine while another voter leads, and its callers would be served by
	// old settings, or by none after a start.
	f := newFleet(t, 3, 0)
	f.apply(0, "first", testTree(1))
	leader := f.leader()
	var dark, other *testNode
	for _, m := range f.members {
		switch {
		case m == leader:
		case dark == nil:
			dark = m
		default:
			other = m
		}
	}
	f.network.cut(dark.process.ControlListen)
	f.timing.Call = time.Hour // who waits for the dead machine misses the test's limit
	f.timing.Search = time.Hour
	f.voters = []settings.Member{
		{ID: "other", Address: other.process.ControlListen},
		{ID: "dark", Address: dark.process.ControlListen},
		{ID: "leader", Address: leader.process.ControlListen},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	joined := f.add(len(f.members), false, listener)
	f.await("settings at the new instance", func() bool { return joined.node.View().Tree != nil })
}
