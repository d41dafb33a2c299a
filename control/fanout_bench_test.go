package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"celeryport/control/state"
	"celeryport/membership"
	"celeryport/upstream"
)

// BenchmarkWholeAnswer measures a voter's work for one starting instance: the whole fleet
// of 330 instances and 600 upstreams, encoded for the wire.
func BenchmarkWholeAnswer(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(b)
	c.group = &group{core: c, machine: state.New()}
	c.fanout = newFanout(c)
	for n := range 330 {
		c.members.merge(now, []membership.Instance{{
			Name: fmt.Sprint("front-", n), Incarnation: 1_700_000_000_000, Address: "10.1.0.40:8227", ControlAddress: "10.1.0.40:7340",
			AvailabilityZone: "sala-ortigia", Region: "sicilia-est",
		}})
	}
	for n := range 600 {
		c.known.Apply(now, upstream.Announcement{
			Name: fmt.Sprint("engine-", n), Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:9", n/250, n%250), Targets: []string{"m"},
			AvailabilityZone: "sala-ortigia", Slots: 10, Version: "v1",
		})
	}
	c.fanout.broadcast(now)
	size := 0
	for b.Loop() {
		reply := make(chan *syncResponse, 1)
		c.fanout.accept(now, now, &syncRequest{Instance: membership.Instance{Name: "front-1", Incarnation: 1}, Attach: true}, reply)
		c.fanout.step(now)
		response := <-reply
		data, err := json.Marshal(response)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data) + len(response.upstreams)
	}
	b.ReportMetric(float64(size), "bytes/answer")
}

// BenchmarkShortAnswer measures a voter's work for one sync of an instance that is up to
// date.
func BenchmarkShortAnswer(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(b)
	c.group = &group{core: c, machine: state.New()}
	c.fanout = newFanout(c)
	i := membership.Instance{Name: "front-1", Incarnation: 1}
	for b.Loop() {
		reply := make(chan *syncResponse, 1)
		c.fanout.accept(now, now, &syncRequest{Instance: i, Epoch: c.fanout.epoch, Attach: true}, reply)
		c.fanout.step(now)
		if _, err := json.Marshal(<-reply); err != nil {
			b.Fatal(err)
		}
	}
}
