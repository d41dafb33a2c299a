package control

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"celeryport/consensus"
	"celeryport/control/agreement"
	"celeryport/membership"
	"celeryport/settings"
)

// foundingFleet names voters, none of which runs yet, and returns their listeners.
func foundingFleet(t *testing.T, voters int) (*fleet, []net.Listener) {
	t.Helper()
	f := &fleet{t: t, timing: testTiming(), heal: voters}
	f.timing.Founding = 10 * time.Millisecond
	var listeners []net.Listener
	for i := range voters {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		listeners = append(listeners, listener)
		f.voters = append(f.voters, settings.Member{ID: fmt.Sprintf("i%d", i), Address: listener.Addr().String()})
	}
	return f, listeners
}

// awaitMembers waits until the group has exactly this number of members, all of them voters that live.
func (f *fleet) awaitMembers(count int) {
	f.t.Helper()
	f.await(fmt.Sprint(count, " live voters"), func() bool {
		var status VotersStatus
		f.ask(CommandVoterList, nil, &status)
		return len(status.Voters) == count &&
			!slices.ContainsFunc(status.Voters, func(v VoterStatus) bool { return v.Learner || v.Instance == "" })
	})
}

// Guards against a group that is never founded because one of its first voters never comes, and that it or its
// replacement does not become a member later.
func TestGroupIsFoundedWithoutAMinority(t *testing.T) {
	for _, count := range []int{3, 5, 6} {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d voters, the last one replaced: %t", count, replaced), func(t *testing.T) {
				t.Parallel()
				f, listeners := foundingFleet(t, count)
				for i := range count/2 + 1 {
					f.add(i, true, listeners[i])
				}
				first := f.apply(0, "a", testTree(1))
				f.awaitInstalled(first.Revision)
				for i := count/2 + 1; i < count-1; i++ {
					f.add(i, true, listeners[i])
				}
				if replaced {
					f.join()
				} else {
					f.add(count-1, true, listeners[count-1])
				}
				f.awaitMembers(count)
			})
		}
	}
}

// Guards against a voter that forgets its promise in a restart, or its state in the founding as a whole.
func TestVoterRestartedAfterItsPromiseKeepsIt(t *testing.T) {
	t.Parallel()
	f, listeners := foundingFleet(t, 3)
	f.timing.Founding = time.Hour
	first := f.add(0, true, listeners[0])
	f.await("the voter waits for the founding", first.awaitsFounding)
	promise := promiseOf(t, first, 7)
	if !promise.Granted || !promise.Initial {
		t.Fatalf("%+v", promise)
	}
	first.halt()
	first.process.MayFoundGroup = false
	f.start(first, nil)
	f.await("the voter waits again", first.awaitsFounding)
	if lower := promiseOf(t, first, 6); lower.Granted || lower.Promised.Number != 7 || !lower.Initial {
		t.Errorf("%+v", lower)
	}
	first.halt()
	first.process.MayFoundGroup, first.process.Voters = true, slices.Clone(f.voters)
	first.process.Voters[2].Address = "127.0.0.1:1"
	f.start(first, nil)
	f.await("the voter waits once more", first.awaitsFounding)
	if moved := promiseOf(t, first, 6); moved.Initial || moved.Promised.Number != 7 {
		t.Errorf("a voter with other founding voters: %+v", moved)
	}
}

// Guards against a voter that lost its disk and that a majority is founded with.
func TestVoterWithoutAFirstStartIsNoPartOfAMajority(t *testing.T) {
	t.Parallel()
	f, listeners := foundingFleet(t, 3)
	f.timing.Founding = time.Hour
	f.add(0, true, listeners[0])
	wiped := f.add(1, true, listeners[1])
	wiped.halt()
	wiped.process.DataFolder, wiped.process.MayFoundGroup = t.TempDir(), false
	f.start(wiped, nil)
	if promise := promiseOf(t, wiped, 7); promise.Initial {
		t.Errorf("%+v", promise)
	}
}

// Guards against a group of which no member learns, since the proposer that completed its founding is none: all
// voters would have to wait for each other.
func TestVoterThatCompletesAFoundingWithoutItselfTellsTheMembers(t *testing.T) {
	t.Parallel()
	f, listeners := foundingFleet(t, 3)
	f.timing.Founding = time.Hour
	accepted := consensus.Configuration{Voters: []consensus.Member{{ID: "absent", Address: f.voters[0].Address}}}
	for i := 1; i < 3; i++ {
		member := f.add(i, true, listeners[i])
		id := promiseOf(t, member, 7).ID
		accepted.Voters = append(accepted.Voters, consensus.Member{ID: id, Address: f.voters[i].Address})
	}
	for _, member := range f.members {
		if answer := answerOf(t, member, 7, &accepted); !answer.Granted {
			t.Fatalf("%+v", answer)
		}
	}
	f.add(0, true, listeners[0])
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	f.awaitMembers(3)
}

// Guards against a second group of voters that lost their disks and have their original settings, although
// instances of the first one contact them.
func TestVoterThatHearsOfAGroupIsNoPartOfAMajority(t *testing.T) {
	t.Parallel()
	f, listeners := foundingFleet(t, 3)
	f.timing.Founding = time.Hour
	voter := f.add(0, true, listeners[0])
	f.await("the voter waits for the founding", voter.awaitsFounding)
	for revision, initial := range []bool{true, false} {
		request := &syncRequest{Instance: membership.Instance{Name: "front", Revision: uint64(revision)}}
		if _, err := voter.node.handleSync(t.Context(), request); err != nil {
			t.Fatal(err)
		}
		if promise := promiseOf(t, voter, 7); promise.Initial != initial {
			t.Errorf("after a sync with revision %d: %+v", revision, promise)
		}
	}
}

func promiseOf(t *testing.T, n *testNode, number uint64) agreement.Answer {
	t.Helper()
	return answerOf(t, n, number, nil)
}

// answerOf returns the answer of a voter to a request in the ballot of another proposer.
func answerOf(t *testing.T, n *testNode, number uint64, value *consensus.Configuration) agreement.Answer {
	t.Helper()
	request := agreement.Request{Ballot: agreement.Ballot{Number: number, Proposer: "p"}, Value: value}
	for _, v := range n.process.Voters {
		request.Voters = append(request.Voters, v.Address)
	}
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	answered, err := n.node.answerProposal(t.Context(), body)
	var answer agreement.Answer
	if err == nil {
		err = json.Unmarshal(answered, &answer)
	}
	if err != nil {
		t.Fatal(err)
	}
	return answer
}
