package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"celeryport/settings"
)

// Guards against a group that is never founded because a voter is restarted before that with settings
// that no longer let it found one: each voter took itself for no member.
func TestVoterRestartedBeforeTheFoundingTakesPart(t *testing.T) {
	foundWithRestarted(t, false)
}

// Guards against a group that is never founded because a voter ended before it had opened its data
// folder, or lost its disk before the founding: the others took the group for founded.
func TestVoterWithoutStateBeforeTheFoundingTakesPart(t *testing.T) {
	foundWithRestarted(t, true)
}

// foundWithRestarted founds a group in which one of the voters was restarted before with settings that
// no longer let it found a group, without what it had stored if emptied is set.
func foundWithRestarted(t *testing.T, emptied bool) {
	for restarted := range 3 {
		t.Run(fmt.Sprint("voter ", restarted), func(t *testing.T) {
			t.Parallel()
			f := &fleet{t: t, timing: testTiming()}
			var listeners []net.Listener
			for i := range 3 {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				listeners = append(listeners, listener)
				f.voters = append(f.voters, settings.Member{ID: fmt.Sprintf("i%d", i), Address: listener.Addr().String()})
			}
			early := f.add(restarted, true, listeners[restarted])
			f.await("the voter waits for the founding", early.awaitsFounding)
			early.halt()
			early.process.MayFoundGroup = false
			if emptied {
				early.process.DataFolder = t.TempDir()
			}
			f.start(early, nil)
			for i, listener := range listeners {
				if i != restarted {
					f.add(i, true, listener)
				}
			}
			first := f.apply(0, "a", testTree(1))
			f.awaitInstalled(first.Revision)
		})
	}
}

// Guards against a voter that waits for a founding which took place without it.
func TestVoterThatMissedTheFoundingJoinsTheGroup(t *testing.T) {
	f := newHealingFleet(t, 3)
	f.putDocument(f.members[0], 1, testTree(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group := f.voters
	f.voters = []settings.Member{{ID: "gone", Address: "127.0.0.1:1"}, {ID: "i3", Address: listener.Addr().String()}}
	late := f.add(3, true, listener)
	f.await("the voter waits for the founding", late.awaitsFounding)
	late.halt()
	late.process.MayFoundGroup, late.process.Voters = false, group
	f.start(late, nil)
	gone := f.members[1]
	before := f.voterID(gone)
	f.crash(gone)
	f.await("the voter takes the place of a lost one", func() bool { return votersApplied(t, late, before) })
}

func (n *testNode) awaitsFounding() bool {
	waits := false
	err := n.node.do(context.Background(), func(time.Time) { waits = n.node.core.group != nil && n.node.core.group.awaitsFounding() })
	return err == nil && waits
}

// Guards against a second group, founded by voters that their settings still name as founders but that the
// first group was founded without, since their disks were lost.
func TestVoterThatTheGroupWasFoundedWithoutFoundsNone(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 0)
	f.apply(0, "a", testTree(1))
	lost := f.members[1]
	lost.halt()
	lost.process.DataFolder = t.TempDir()
	f.start(lost, nil)
	f.await("the voter has learnt that the group was founded", func() bool { return !lost.awaitsFounding() })
	for _, member := range f.members {
		member.halt()
	}
	f.start(lost, nil)
	var hello helloResponse
	body, err := lost.node.answerHello(t.Context(), nil)
	if err == nil {
		err = json.Unmarshal(body, &hello)
	}
	if err != nil || !hello.Founded || hello.Awaits {
		t.Errorf("%+v, %v", hello, err)
	}
}
