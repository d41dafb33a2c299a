package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"celeryport/membership"
	"celeryport/upstream"
)

// BenchmarkProvisionalAnswer measures the work of a voter that has just started for one
// instance without any state, with 100 instances and 1,000 upstreams remembered.
func BenchmarkProvisionalAnswer(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	c := newTestCore(b)
	var fleet remembered
	for n := range 100 {
		fleet.Instances = append(fleet.Instances, membership.Instance{
			Name: fmt.Sprint("front-", n), Incarnation: 1_700_000_000_000, Address: "10.1.0.40:8227", ControlAddress: "10.1.0.40:7340",
			AvailabilityZone: "patan-zone", Region: "kathmandu-valley",
		})
	}
	for n := range 1000 {
		fleet.Upstreams = append(fleet.Upstreams, upstream.Announcement{
			Name: fmt.Sprint("i-engine-", n), Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:8080", n/250, n%250), Targets: []string{"model"},
			AvailabilityZone: "patan-zone", Slots: 16, Version: "v1",
		})
	}
	c.addRemembered(now, &fleet)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		answer := &syncResponse{Redirect: true, Provisional: c.provisionalFor(now, &syncRequest{Seeking: true})}
		data, err := json.Marshal(answer)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/answer")
}
