package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"celeryport/control/relay"
	"celeryport/control/state"
	"celeryport/membership"
	"celeryport/upstream"
)

// attachedCaller is an instance that receives announcements of some upstreams and syncs
// with a voter.
type attachedCaller struct {
	name         string
	direct       *upstream.Registry
	out          outbox
	acknowledged uint64 // batches of the instance that the voter has applied
	upstreams    uint64 // last batch of the voter that the instance has applied
	stated       bool
}

func (a *attachedCaller) sync(b *testing.B, f *fanout, now time.Time) int {
	b.Helper()
	if err := a.out.gather(now); err != nil {
		b.Fatal(err)
	}
	announcements, err := a.out.sender.Since(now, a.acknowledged)
	if err != nil {
		b.Fatal(err)
	}
	request := &syncRequest{Epoch: f.epoch, Attach: true, Upstreams: a.upstreams, Members: f.core.members.revision, announcements: announcements}
	if a.stated {
		request.Brief = &briefInstance{Name: a.name, Incarnation: 1}
	} else {
		request.Instance = membership.Instance{Name: a.name, Incarnation: 1, Address: "a", ControlAddress: "b"}
	}
	a.stated = true
	reply := make(chan *syncResponse, 1)
	f.accept(now, now, request, reply)
	f.step(now)
	response := <-reply
	a.acknowledged, a.upstreams = response.AppliedUpTo, f.out.sender.Position()
	state, err := json.Marshal(response)
	if err != nil {
		b.Fatal(err)
	}
	return len(state) + len(response.upstreams)
}

// BenchmarkVoterSecond measures a voter's work during one second for 100 of 300 attached
// instances and 3,000 upstreams, a third of which announce themselves to its own
// instances: two syncs of each instance, and the leader's updates about the other
// upstreams.
func BenchmarkVoterSecond(b *testing.B) {
	const instances, upstreams, each = 100, 3000, 10
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(b)
	c.group = &group{core: c, machine: state.New()}
	c.fanout = newFanout(c)
	var callers []*attachedCaller
	for i := range instances {
		registry := upstream.NewRegistry(3 * time.Second)
		callers = append(callers, &attachedCaller{name: fmt.Sprint("front-", i), direct: registry, out: newOutbox(registry)})
	}
	announced := func(n, sequence int) upstream.Announcement {
		return upstream.Announcement{
			Name: fmt.Sprint("engine-", n), Incarnation: 1, Sequence: uint64(sequence), Address: fmt.Sprintf("10.0.%d.%d:9", n/250, n%250),
			Targets: []string{"m"}, AvailabilityZone: "sala-ortigia", Slots: 16, Version: "v1",
		}
	}
	leader, position := relay.NewSender(), relay.NewReceiver()
	sequence, size := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		for half := range 2 {
			sequence++
			now = now.Add(500 * time.Millisecond)
			var others []upstream.Relayed
			for n := instances*each + half; n < upstreams; n += 2 {
				others = append(others, upstream.Relayed{Announcement: announced(n, sequence)})
			}
			if err := leader.Add(now, others); err != nil {
				b.Fatal(err)
			}
			delta, err := leader.Since(now, position.Position())
			if err != nil {
				b.Fatal(err)
			}
			relayed, err := position.Apply(delta, 0)
			if err != nil {
				b.Fatal(err)
			}
			for _, one := range relayed {
				c.logUpstream(one.Announcement)
				c.known.ApplyRelayed(now, one)
			}
			c.publish(now)
			for i, caller := range callers {
				for k := half; k < each; k += 2 {
					caller.direct.Apply(now, announced(i*each+k, sequence))
				}
				size = caller.sync(b, c.fanout, now)
			}
		}
	}
	b.ReportMetric(float64(size), "bytes/answer")
}
