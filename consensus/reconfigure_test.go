package consensus

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// replace performs the steps of the operator command that replaces a voter: add a
// learner, promote it, remove the old voter.
func (w *network) replace(old ID, replacement *server) {
	w.t.Helper()
	w.addServer(replacement, Configuration{})
	leader := w.electLeader()
	config := leader.node.Status().Configuration
	config.Learners = []Member{{ID: replacement.id}}
	w.reconfigure(config)
	config.Learners = nil
	config.Voters = append(slices.Clone(config.Voters), Member{ID: replacement.id})
	w.reconfigure(config)
	config.Voters = slices.DeleteFunc(slices.Clone(config.Voters), func(m Member) bool { return m.ID == old })
	w.reconfigure(config)
}

// reconfigure retries a change until the leader accepts it, and waits until it is
// committed.
func (w *network) reconfigure(config Configuration) {
	w.t.Helper()
	leader := w.electLeader()
	w.waitFor(10*time.Second, fmt.Sprintf("change to %v", config), func() bool {
		err := leader.node.ProposeConfig(leader.clock(w.now), config)
		w.processReady(leader)
		return err == nil
	})
	w.waitFor(5*time.Second, "commit of the change", func() bool { return !leader.node.Status().ConfigPending })
}

// One voter's disk is lost and the voter is replaced; right after that, a second
// voter fails permanently. Changes that were accepted before must not be lost.
func TestSecondLossRightAfterRepairLosesNothing(t *testing.T) {
	w := newNetwork(t, 8, 3)
	w.commit(50)
	first := w.follower()
	first.up = false
	w.commit(50)
	w.replace(first.id, &server{id: first.id + "-2", rate: 1})
	accepted := len(w.committed)
	second := w.electLeader()
	second.up = false
	w.run(3 * time.Second)
	w.commit(1)
	if len(w.committed) <= accepted {
		t.Fatal("no progress after the second loss")
	}
	w.run(time.Second)
	w.checkHistory(w.electLeader().node.Status().Configuration)
}

// A voter loses its disk and is restarted at the same address. It had confirmed a
// change that otherwise only a stopped voter holds. If it voted under its old ID,
// the third voter could be elected without that change.
func TestVoterWithLostDiskDoesNotVoteUnderItsOldID(t *testing.T) {
	w := newNetwork(t, 9, 3)
	w.commit(5)
	leader, confirmed := w.electLeader(), w.follower()
	var behind *server
	for _, s := range w.servers {
		if s != leader && s != confirmed {
			behind = s
		}
	}
	behind.up = false
	w.commit(5)
	leader.up, confirmed.up = false, false
	w.restart(behind)
	w.addServer(&server{id: confirmed.id + "-2", rate: 1}, Configuration{})
	w.run(time.Minute)
	if l := w.leader(); l != nil {
		t.Fatalf("%s was elected without the accepted changes", l.id)
	}
	w.restart(leader)
	w.waitForConvergence()
}

// A learner that is still empty is promoted by mistake, or two voters are changed
// at once. The group could lose its majority or its entries, so each of these
// changes must be rejected.
func TestUnsafeChangesAreRefused(t *testing.T) {
	w := newNetwork(t, 10, 3)
	w.commit(20)
	leader, other := w.electLeader(), w.follower()
	voters := leader.node.Status().Configuration.Voters
	without := func(id ID) []Member {
		return slices.DeleteFunc(slices.Clone(voters), func(m Member) bool { return m.ID == id })
	}
	with := append(slices.Clone(voters), Member{ID: "n"})
	refused := func(want Refusal, c Configuration) {
		t.Helper()
		err := leader.node.ProposeConfig(leader.clock(w.now), c)
		var got *RefusedError
		if !errors.As(err, &got) || got.Cause != want {
			t.Fatalf("got %v, want %q", err, want)
		}
	}
	refused(RefusedMalformed, Configuration{})
	refused(RefusedNotLearner, Configuration{Voters: with})
	refused(RefusedTooMany, Configuration{Voters: append(without(other.id), Member{ID: "n"})})
	refused(RefusedSelf, Configuration{Voters: without(leader.id)})
	w.reconfigure(Configuration{Voters: voters, Learners: []Member{{ID: "n"}}})
	refused(RefusedBehind, Configuration{Voters: with})
	if err := leader.node.ProposeConfig(leader.clock(w.now), Configuration{Voters: voters}); err != nil {
		t.Fatal(err)
	}
	refused(RefusedPending, Configuration{Voters: without(other.id)})
	w.processReady(leader)
	w.run(time.Second)
	other.up = false
	w.run(2 * w.timing.ElectionMin)
	third := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s == leader || s == other })[0]
	refused(RefusedUnsafe, Configuration{Voters: without(third.id)})
}
