package control

import (
	"fmt"
	"testing"
	"time"

	"celeryport/control/relay"
	"celeryport/membership"
	"celeryport/upstream"
)

// BenchmarkInstanceSecond measures the work of an instance without calls during one second: the
// announcements of all upstreams, which its voter relays in batches, and the views with them.
func BenchmarkInstanceSecond(b *testing.B) {
	for _, size := range []int{100, 985, 1970} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkInstanceSecond(b, size) })
	}
}

func benchmarkInstanceSecond(b *testing.B, size int) {
	b.Helper()
	const batches = 4
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(b)
	var members []membership.Instance
	for n := range size {
		members = append(members, membership.Instance{Name: fmt.Sprint("front-", n), Incarnation: 1, Address: "a", ControlAddress: "10.1.0.40:7340"})
	}
	c.members.merge(now, members)
	sender := relay.NewSender()
	sequence := uint64(0)
	announced := func(n int) upstream.Relayed {
		return upstream.Relayed{Announcement: upstream.Announcement{
			Name: fmt.Sprint("engine-", n), Incarnation: 1, Sequence: sequence, Address: fmt.Sprintf("10.0.%d.%d:9", n/250, n%250),
			Targets: []string{"m"}, AvailabilityZone: "sala-ortigia", Slots: 16, Version: "v1",
		}}
	}
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		for batch := range batches {
			b.StopTimer()
			now = now.Add(time.Second / batches)
			var changes []upstream.Relayed
			for n := batch; n < size; n += batches {
				changes = append(changes, announced(n))
			}
			if err := sender.Add(now, changes); err != nil {
				b.Fatal(err)
			}
			delta, err := sender.Since(now, c.received.Position())
			if err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
			c.applyUpstreams(now, now, &syncResponse{upstreams: delta})
			c.publishIfDue(now)
		}
	}
}
