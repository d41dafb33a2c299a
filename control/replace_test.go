package control

import (
	"net"
	"testing"

	"celeryport/consensus"
	"celeryport/control/state"
)

// join starts an additional instance that may become a voter.
func (f *fleet) join() *testNode {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	return f.add(len(f.members), true, listener)
}

// voterID returns the voter ID of an instance.
func (f *fleet) voterID(n *testNode) consensus.ID {
	f.t.Helper()
	var status VotersStatus
	f.ask(CommandVoterList, nil, &status)
	for _, v := range status.Voters {
		if v.Address == n.process.ControlListen {
			return v.ID
		}
	}
	f.t.Fatalf("%s is not a voter: %+v", n.process.Name, status.Voters)
	return ""
}

// awaitReplaced replaces a voter, repeating the command until it succeeds.
func (f *fleet) awaitReplaced(old consensus.ID, by *testNode) {
	f.t.Helper()
	var status VotersStatus
	f.ask(CommandVoterReplace, ReplaceRequest{Old: old, New: by.process.Name}, &status)
	for _, v := range status.Voters {
		if v.ID == old || v.Learner {
			f.t.Fatalf("after the replacement: %+v", status.Voters)
		}
	}
}

func TestSecondLossRightAfterARepair(t *testing.T) {
	// A voter is lost for good and replaced, and right afterwards a second one is lost.
	// The replacement must have every accepted change by then; otherwise the operators'
	// last orders are lost.
	t.Parallel()
	f := newFleetWith(t, 3, 0, func(timing *Timing) { timing.Compact = 8 })
	base := uint64(0)
	for i := range 12 {
		base = f.apply(base, string(rune('a'+i)), testTree(i)).Revision
	}
	dead := f.members[0]
	old := f.voterID(dead)
	f.crash(dead)
	replacement := f.join()
	f.awaitReplaced(old, replacement)
	f.crash(f.members[1])
	var status SettingsStatus
	f.ask(CommandShow, nil, &status)
	if status.Accepted.Number != base {
		t.Fatalf("accepted %d before, %d after the second loss", base, status.Accepted.Number)
	}
	if next := f.apply(base, "after", testTree(99)); next.Kind != state.Accepted {
		t.Fatalf("order after the second loss: %+v", next)
	}
}

func TestVoterWithALostDiskDoesNotVoteUnderItsOldID(t *testing.T) {
	// A voter loses its disk and restarts with its original settings. If it took part
	// under its old identity, its lost votes and entries could help to elect a leader
	// without an accepted change.
	t.Parallel()
	f := newFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	lost := f.members[0]
	old := f.voterID(lost)
	f.crash(lost)
	lost.process.DataFolder = t.TempDir()
	f.start(lost, nil)
	f.awaitInstalledAt(lost, first.Revision)
	var status VotersStatus
	f.ask(CommandVoterList, nil, &status)
	for _, v := range status.Voters {
		if v.ID == old && v.Match >= first.Revision && v.Instance == lost.process.Name {
			t.Fatalf("the voter with the lost disk votes again: %+v", status.Voters)
		}
	}
	f.awaitReplaced(old, lost)
	if fresh := f.voterID(lost); fresh == old {
		t.Fatal("the ID of the lost disk is in use again")
	}
	f.crash(f.members[1])
	if next := f.apply(first.Revision, "b", testTree(2)); next.Kind != state.Accepted {
		t.Fatalf("order after the repair: %+v", next)
	}
}

func TestLeaderIsReplaced(t *testing.T) {
	// The operator replaces the voter that currently leads, for instance because its
	// machine is to be switched off. The command must transfer the leadership first.
	t.Parallel()
	f := newFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	replacement := f.join()
	f.awaitReplaced(f.voterID(f.leader()), replacement)
	if next := f.apply(first.Revision, "b", testTree(2)); next.Kind != state.Accepted {
		t.Fatalf("order after the replacement: %+v", next)
	}
}
