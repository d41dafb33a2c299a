package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"celeryport/control/state"
	"celeryport/upstream"
)

func TestLeavingUpstreamsDoNotKeepVotersFromElecting(t *testing.T) {
	// A third of the engines are replaced, and the voters are killed and restarted. Each
	// leaving engine waits at a voter for a leader. If the voter searched for a leader
	// separately for each engine, the voters would have no time to elect one, and neither
	// settings nor engines would be acknowledged for seconds.
	f := newAttachingFleet(t, 3, 0)
	first := f.apply(0, "a", testTree(1))
	f.awaitInstalled(first.Revision)
	for _, m := range f.members {
		f.crash(m)
	}
	f.timing.Retry = time.Hour // each search for a leader is made only once in this test
	alone := f.members[0]
	f.start(alone, nil) // without a majority
	const engines = 60
	ctx, end := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for n := range engines {
		waiting.Go(func() {
			a := upstream.Announcement{Name: fmt.Sprint("e", n), Incarnation: 1, Sequence: 1, Address: fmt.Sprintf("10.0.0.%d:1", n), Targets: []string{"m"}, Leaving: true}
			if err := alone.node.AnnounceAndWait(ctx, a); err == nil {
				t.Errorf("%s was acknowledged without a leader", a.Name)
			}
		})
	}
	f.await("all engines wait", func() bool { return alone.node.waitingDepartures.Load() == engines })
	end()
	waiting.Wait()
	if calls := alone.node.clients.Stats().Calls.Load(); calls > engines/2 {
		t.Errorf("%d waiting engines caused %d calls to the other voters", engines, calls)
	}
	var left int
	err := alone.node.do(t.Context(), func(time.Time) { left = len(alone.node.core.fanout.delivery.waiting) })
	if left += int(alone.node.waitingDepartures.Load()); err != nil || left > 0 {
		t.Errorf("%d waiters are still registered after their context ended, error %v", left, err)
	}
}

func TestDeliveryCompletesInOrder(t *testing.T) {
	var d delivery
	first, second := d.await(d.nextMark()), d.await(d.nextMark())
	ended := func(c chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	d.acknowledge(1)
	if !ended(first) || ended(second) {
		t.Error("acknowledging the first mark must end the first wait only")
	}
	d.acknowledge(0) // an older response that arrives late
	if ended(second) {
		t.Error("an older response ended a wait")
	}
	d.acknowledge(2)
	if !ended(second) || !ended(d.await(2)) {
		t.Error("a wait continues although a leader has acknowledged every mark")
	}
}

// Guards against acknowledging a leaving upstream although the response came from a voter
// or a leader that lacks earlier batches and applied nothing.
func TestAnswerLackingEarlierBatchesIsNoDelivery(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(t)
	c.group = &group{core: c, machine: state.New()}
	c.fanout = newFanout(c)
	announce := func(sequence uint64) {
		c.receiveAnnouncement(now, upstream.Announcement{Name: "e", Incarnation: 1, Sequence: sequence, Address: "10.0.0.1:9", Targets: []string{"m"}, Leaving: sequence > 1})
		c.gatherPosition(now)
	}
	announce(1)
	c.position = syncPosition{epoch: "old", appliedUpTo: c.out.sender.Position()}
	announce(2)
	done := c.fanout.delivery.await(c.fanout.delivery.nextMark())
	answer := func(epoch string, upTo uint64) *searchAnswer {
		request, _ := c.syncRequest(now, 0)
		return &searchAnswer{target: "a", sentAt: now, request: &request, response: &syncResponse{Epoch: epoch, AppliedUpTo: upTo}}
	}
	if err := c.applySync(now, answer("new", 0)); err != nil {
		t.Fatal(err)
	}
	if len(c.fanout.delivery.waiting) == 0 {
		t.Error("delivered, although the leader has applied nothing")
	}
	if err := c.applySync(now, answer("new", c.out.sender.Position())); err != nil {
		t.Fatal(err)
	}
	select {
	case <-done:
	default:
		t.Error("not delivered, although the leader has applied everything")
	}
}
