package control

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"celeryport/control/state"
	"celeryport/membership"
	"celeryport/upstream"
)

// newAttachingFleet starts voters, each in an availability zone of its own, and instances
// that sync with any of them.
func newAttachingFleet(t *testing.T, voters, others int) *fleet {
	t.Helper()
	f := &fleet{t: t, timing: testTiming(), fanOut: true}
	for zone := range voters {
		f.zones = append(f.zones, fmt.Sprint("zone-", zone))
	}
	f.startAll(voters, others)
	return f
}

// attachedTo returns the control address that a node syncs with.
func (n *testNode) attachedTo() string { return n.node.View().Leader }

func TestInstancesAreAnsweredByTheVoterOfTheirZone(t *testing.T) {
	// Hundreds of instances start together. If all of them sync with the leader, the syncs
	// saturate its small processor, its heartbeats are late, and the other voters elect a
	// new leader, which is overloaded in turn. Operators' changes are then acknowledged
	// late or never.
	t.Parallel()
	f := newAttachingFleet(t, 3, 9)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	for n, m := range f.members[3:] {
		voter := f.members[n%3].process.ControlListen
		f.await("an instance attached to the voter of its zone", func() bool { return m.attachedTo() == voter })
	}
	leader := f.leader()
	var direct int
	err := leader.node.do(t.Context(), func(time.Time) { direct = len(leader.node.core.leader.inboxes) })
	if err != nil {
		t.Fatal(err)
	}
	if direct > 3 {
		t.Errorf("%d instances sync with the leader itself, want the 3 voters at most", direct)
	}
	second := f.apply(first.Revision, "b", testTree(2))
	f.awaitInstalled(second.Revision)
	f.awaitInForce(second.Revision)
	f.await("every instance knows all others", func() bool {
		for _, m := range f.members {
			live := 0
			for _, i := range m.node.View().Instances {
				if i.State == membership.Live {
					live++
				}
			}
			if live != len(f.members) {
				return false
			}
		}
		return true
	})
}

func TestInstancesLeaveAPartitionedVoter(t *testing.T) {
	// A voter is partitioned from the other voters, but not from the instances attached to
	// it, and continues to answer them. If they stayed attached to it, their callers would
	// be served by outdated settings for as long as the partition lasts.
	t.Parallel()
	f := newAttachingFleet(t, 3, 3)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	leader := f.leader()
	var cutOff, attached *testNode
	for n, m := range f.members[:3] {
		if m != leader {
			cutOff, attached = m, f.members[3+n]
		}
	}
	f.await("the instance attached to its voter", func() bool { return attached.attachedTo() == cutOff.process.ControlListen })
	f.network.partition(cutOff.process.ControlListen, attached.process.ControlListen)
	second := f.apply(first.Revision, "b", testTree(2))
	f.awaitInstalledAt(attached, second.Revision)
	f.network.reconnect(cutOff.process.ControlListen)
	f.await("the instance attached to its voter again", func() bool { return attached.attachedTo() == cutOff.process.ControlListen })
}

func TestAttachedInstancesSurviveTheLossOfTheirVoter(t *testing.T) {
	// The voter that an instance is attached to dies. The instance must receive changes,
	// and the others must learn that the voter is gone, through another voter.
	t.Parallel()
	f := newAttachingFleet(t, 3, 3)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	attached := f.members[3]
	f.await("the instance attached to its voter", func() bool { return attached.attachedTo() == f.members[0].process.ControlListen })
	f.crash(f.members[0])
	second := f.apply(first.Revision, "b", testTree(2))
	f.awaitInstalledAt(attached, second.Revision)
	f.start(f.members[0], nil)
	f.await("the instance attached to its voter again", func() bool { return attached.attachedTo() == f.members[0].process.ControlListen })
	f.crash(attached)
	f.await("the dead instance is gone", func() bool {
		for _, i := range f.members[4].node.View().Instances {
			if i.Name == attached.process.Name {
				return i.State == membership.Gone
			}
		}
		return false
	})
}

func TestLeavingUpstreamReachesAttachedInstances(t *testing.T) {
	// An upstream notifies one voter that it is leaving, and relies on getting no new
	// requests soon after the acknowledgement. Instances attached to other voters must be
	// notified at once, not when their next sync is due.
	t.Parallel()
	f := newAttachingFleet(t, 3, 6)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	a := &upstream.Announcement{Name: "e1", Incarnation: 1, Address: "10.0.0.1:9", Targets: []string{"m"}}
	f.awaitSeen(a, f.members[1], upstream.Fresh)
	a.Sequence++
	a.Leaving = true
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := f.members[2].node.AnnounceAndWait(ctx, *a); err != nil {
		t.Fatal(err)
	}
	f.await("every instance knows that the upstream is leaving", func() bool {
		for _, m := range f.members {
			if !m.sees(a.Name, upstream.Leaving, 0) {
				return false
			}
		}
		return true
	})
}

func TestAttachedInstanceDrawsAHigherIncarnation(t *testing.T) {
	// The machine's clock went back while the instance was down, so it starts with an
	// incarnation below that of its former process, which the leader knows. If it never
	// drew a higher one, it would get no settings until the clock caught up.
	t.Parallel()
	f := newAttachingFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leader := f.leader()
	far := uint64(time.Now().Add(time.Hour).UnixNano())
	err = leader.node.do(t.Context(), func(now time.Time) {
		leader.node.core.leader.table.Record(now, membership.Instance{Name: "i3", Incarnation: far})
	})
	if err != nil {
		t.Fatal(err)
	}
	back := f.add(3, false, listener)
	f.await("a higher incarnation", func() bool { return back.node.View().Incarnation > far })
	f.awaitInstalledAt(back, first.Revision)
}

func TestJoiningInstancesWakeNoHeldSyncs(t *testing.T) {
	// A fleet of 300 instances starts at once, and each is attached to one of a few
	// voters. If every instance that joins wakes all held syncs, a voter sends a hundred
	// responses for each, and is busy for seconds while it should elect a leader.
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(t)
	c.group = &group{core: c, machine: state.New()}
	c.fanout = newFanout(c)
	const fleetSize = 300
	var waiting []chan *syncResponse
	for n := range fleetSize {
		i := membership.Instance{Name: fmt.Sprint("front-", n), Incarnation: 1}
		reply := make(chan *syncResponse, 1)
		c.fanout.accept(now, now, &syncRequest{Instance: i, Epoch: c.fanout.epoch, WaitMs: 500, Attach: true}, reply)
		c.members.merge(now, []membership.Instance{i})
		waiting = append(waiting, reply)
		now = now.Add(time.Millisecond)
		c.fanout.step(now)
	}
	answered := 0
	for _, reply := range waiting {
		answered += len(reply)
	}
	if answered > 0 {
		t.Errorf("%d of %d held syncs were answered because others joined", answered, fleetSize)
	}
	c.fanout.step(now.Add(time.Second))
	for _, reply := range waiting {
		if r := <-reply; len(r.Members.list) != fleetSize {
			t.Fatalf("a due response names %d instances, want %d", len(r.Members.list), fleetSize)
		}
	}
}

func TestInstancesWithoutSettingsWaitAtTheirVoter(t *testing.T) {
	// The voters of a starting fleet have no settings and no leader yet. If each instance
	// repeatedly asked all of them in the meantime, they would have no time to elect a
	// leader, and no instance could serve for seconds.
	t.Parallel()
	f := newAttachingFleet(t, 3, 0)
	for _, m := range f.members[1:] {
		f.crash(m)
	}
	f.crash(f.members[0])
	f.timing.Sync = time.Minute // a held sync stays held until it is observed
	f.start(f.members[0], nil)  // no majority, so no leader, and no settings were ever accepted
	f.voters = f.voters[:1]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bare := f.add(3, false, listener)
	voter := f.members[0]
	f.await("a held sync", func() bool {
		held := 0
		if voter.node.do(t.Context(), func(time.Time) { held = len(voter.node.core.fanout.polls) }) != nil {
			return false
		}
		return held == 1
	})
	if calls := bare.node.clients.Stats().Calls.Load(); calls > 3 {
		t.Errorf("%d calls before the voter held one", calls)
	}
}

func TestUpstreamsAnnounceToInstancesOfTheirZone(t *testing.T) {
	// Hundreds of upstreams announce themselves every second. If a few voters receive the
	// announcements of all of them, their small processors have no time for anything else,
	// and leaving upstreams are not acknowledged.
	instances := []membership.Instance{
		{Name: "voter", Voter: true, ControlAddress: "10.0.0.9:1", AvailabilityZone: "a"},
		{Name: "draining", State: membership.Draining, Address: "x", ControlAddress: "10.0.0.8:1", AvailabilityZone: "a"},
	}
	if got := receiverAddress(instances, "e", "a"); got != "" {
		t.Errorf("no instance can receive announcements, but %s is named", got)
	}
	zones := map[string]string{}
	for n := range 6 {
		i := membership.Instance{
			Name: fmt.Sprint("front-", n), Address: "x", ControlAddress: fmt.Sprintf("10.0.0.%d:1", n), AvailabilityZone: string(rune('a' + n%2)),
		}
		instances = append(instances, i)
		zones[i.ControlAddress] = i.AvailabilityZone
	}
	counts := map[string]int{}
	for n := range 300 {
		address := receiverAddress(instances, fmt.Sprint("engine-", n), "a")
		if zones[address] != "a" {
			t.Fatalf("an upstream of zone a announces to %q", address)
		}
		counts[address]++
	}
	if len(counts) != 3 || slices.Min(slices.Collect(maps.Values(counts))) < 60 {
		t.Errorf("distribution of 300 upstreams: %v", counts)
	}
	if got := receiverAddress(instances, "e", "zone without instances"); got == "" {
		t.Error("no instance for an upstream of a zone without instances")
	}
}

func TestLeavingUpstreamIsAcknowledgedWhenTheLeaderHasIt(t *testing.T) {
	// An upstream notifies an attached instance that it is leaving while the voter of that
	// instance is partitioned from the others. If the message were acknowledged at that
	// point, the others would send requests to an engine that stops.
	t.Parallel()
	f := newAttachingFleet(t, 3, 3)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	leader := f.leader()
	var cutOff, attached, other *testNode
	for n, m := range f.members[:3] {
		if m == leader {
			other = f.members[3+n]
		} else {
			cutOff, attached = m, f.members[3+n]
		}
	}
	f.await("the instance attached to its voter", func() bool { return attached.attachedTo() == cutOff.process.ControlListen })
	a := &upstream.Announcement{Name: "e1", Incarnation: 1, Address: "10.0.0.1:9", Targets: []string{"m"}}
	f.awaitSeen(a, attached, upstream.Fresh)
	f.network.partition(cutOff.process.ControlListen, attached.process.ControlListen)
	a.Sequence++
	a.Leaving = true
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := attached.node.AnnounceAndWait(ctx, *a); err != nil {
		t.Fatal(err)
	}
	var known upstream.Announcement
	err := leader.node.do(t.Context(), func(time.Time) { known, _ = leader.node.core.known.Find(a.Name) })
	if err != nil || !known.Leaving {
		t.Errorf("leaving was acknowledged, but on the leader Leaving is %t, error %v", known.Leaving, err)
	}
	f.await("the others know", func() bool { return other.sees(a.Name, upstream.Leaving, 0) })
}

func TestMemberDeltaIsDecodedWholeOrRejected(t *testing.T) {
	// A list that is sent to many instances is compressed. A list that cannot be decoded
	// must be rejected as a whole: an instance that took a part of it for the whole would
	// give out no other addresses.
	list := []membership.Instance{{Name: "a", Incarnation: 3, Address: "10.0.0.1:1"}, {Name: "b", State: membership.Draining}}
	packed, err := packMembers(list)
	if err != nil {
		t.Fatal(err)
	}
	for name, delta := range map[string]memberDelta{"packed": packed, "plain": {list: list}} {
		data, err := json.Marshal(delta)
		if err != nil {
			t.Fatal(err)
		}
		var got memberDelta
		if err := json.Unmarshal(data, &got); err != nil || !slices.Equal(got.list, list) {
			t.Errorf("%s: %v, %v", name, got.list, err)
		}
		var cut memberDelta
		if err := cut.UnmarshalJSON(data[:len(data)/2]); err == nil {
			t.Errorf("%s: a truncated list was decoded in part: %v", name, cut.list)
		}
	}
	if err := new(memberDelta).UnmarshalJSON([]byte(`"KLUv/QAAAAAAAAAA"`)); err == nil {
		t.Error("a damaged list was accepted")
	}
}

func TestUrgentChangesWakeAttachedInstances(t *testing.T) {
	// An engine leaves, or settings change, while an instance's sync is held. If the
	// response waited until it was due, the instance would continue to send requests to
	// the engine, or to serve by the old settings, for half a second per voter on the way.
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(t)
	c.group = &group{core: c, machine: state.New()}
	c.fanout = newFanout(c)
	engine := upstream.Announcement{Name: "e", Incarnation: 1, Sequence: 1, Address: "10.0.0.1:9", Targets: []string{"m"}}
	hold := func() chan *syncResponse {
		reply := make(chan *syncResponse, 1)
		c.fanout.accept(now, now, &syncRequest{
			Instance: membership.Instance{Name: "front", Incarnation: 1, Revision: c.installed.revision()}, Epoch: c.fanout.epoch,
			Members: c.members.revision, Upstreams: c.fanout.out.sender.Position(), WaitMs: 500, Attach: true,
		}, reply)
		return reply
	}
	c.receiveAnnouncement(now, engine)
	now = now.Add(relayInterval)
	c.fanout.step(now)
	held := hold()
	engine.Sequence++
	c.receiveAnnouncement(now, engine)
	now = now.Add(relayInterval)
	if c.fanout.step(now); len(held) > 0 {
		t.Error("a repeated announcement of an engine wakes instances")
	}
	engine.Sequence++
	engine.Leaving = true
	c.receiveAnnouncement(now, engine)
	if c.fanout.step(now); len(held) == 0 {
		t.Error("a leaving engine does not wake the instance")
	}
	held = hold()
	if err := c.installed.install(7, testTree(7)); err != nil {
		t.Fatal(err)
	}
	if c.fanout.step(now); len(held) == 0 {
		t.Error("changed settings do not wake the instance")
	}
}
