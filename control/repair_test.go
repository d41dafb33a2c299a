package control

import (
	"slices"
	"testing"
	"time"

	"celeryport/consensus"
)

func member(id string) consensus.Member {
	return consensus.Member{ID: consensus.ID(id), Address: "address-of-" + id}
}

func members(ids ...string) []consensus.Member {
	var all []consensus.Member
	for _, id := range ids {
		all = append(all, member(id))
	}
	return all
}

func TestRepairDoesOneSafeStepAfterTheOther(t *testing.T) {
	// A voter loses its disk or is replaced, and the leader repairs the group
	// automatically. Steps in the wrong order, for instance the removal of the dead voter
	// before its successor has the log, would leave an accepted change on too few disks
	// when the next machine is lost.
	reborn := consensus.Member{ID: "b2", Address: member("b").Address}
	tests := []struct {
		name     string
		voters   []consensus.Member
		learners []consensus.Member
		known    knownVoters
		want     string
		voting   int
	}{
		{"all voters are live", members("a", "b", "c"), nil, knownVoters{live: members("a", "b", "c"), settled: true}, "", 3},
		{"one is down and has no replacement", members("a", "b", "c"), nil, knownVoters{live: members("a", "b"), settled: true}, "", 3},
		{"one is replaced", members("a", "b", "c"), nil, knownVoters{live: members("a", "b", "d"), settled: true}, "add a learner", 3},
		{"the learner is promoted", members("a", "b", "c"), members("d"), knownVoters{live: members("a", "b", "d"), settled: true}, "promote a learner", 4},
		{"the dead voter is removed last", members("a", "b", "c", "d"), nil, knownVoters{live: members("a", "b", "d"), settled: true}, "remove a dead voter", 3},
		{"a new leader does not know every instance yet", members("a", "b", "c", "d"), nil, knownVoters{live: members("a", "b", "d")}, "", 4},
		{"a lost disk is detected at once", members("a", "b", "c", "b2"), nil, knownVoters{live: []consensus.Member{member("a"), member("c"), reborn}}, "remove a dead voter", 3},
		{"a dead learner is removed", members("a", "b", "c"), members("d"), knownVoters{live: members("a", "b"), settled: true}, "remove a dead learner", 3},
		{"no more than wanted", members("a", "b", "c"), nil, knownVoters{live: members("a", "b", "c", "d"), settled: true}, "", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := consensus.Configuration{Voters: test.voters, Learners: test.learners}
			next, step := repair(&before, test.known, 3)
			if step != test.want || len(next.Voters) != test.voting {
				t.Errorf("step %q to %v, want %q and %d voters", step, next.Voters, test.want, test.voting)
			}
			if added := len(next.Voters) - len(before.Voters); added > 1 || added < -1 {
				t.Errorf("%d voters change at once", added)
			}
		})
	}
}

func TestLostDiskIsRepairedAutomatically(t *testing.T) {
	// A voter restarts with an empty disk and is not replaced by hand. Before the next
	// machine is lost it must be a voter again, under a new ID and with everything that
	// was accepted.
	f := newHealingFleet(t, 3)
	f.putDocument(f.members[0], 1, testTree(1))
	lost := f.members[0]
	if f.leader() == lost {
		lost = f.members[1]
	}
	before := f.voterID(lost)
	f.crash(lost)
	f.putDocument(f.leader(), 2, testTree(2))
	lost.process.DataFolder = t.TempDir()
	lost.process.MayFoundGroup = false
	f.start(lost, nil)
	for _, m := range f.members {
		f.await("the repaired group is known at "+m.process.Name, func() bool { return votersApplied(t, m, before) })
	}
	f.crash(f.leader())
	if found := f.readAccepted(lost); found.Revision.Version != 2 {
		t.Errorf("version %d after the second loss, but 2 was accepted", found.Revision.Version)
	}
}

// votersApplied reports whether a node has applied a change to three voters that do not
// include the lost one. A change that the leader has only proposed may still be lost with
// it.
func votersApplied(t *testing.T, m *testNode, lost consensus.ID) bool {
	t.Helper()
	var voters []consensus.ID
	err := m.node.do(t.Context(), func(time.Time) { voters = m.node.core.group.machine.Epoch().Voters })
	return err == nil && len(voters) == 3 && !slices.Contains(voters, lost)
}
