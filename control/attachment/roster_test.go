package attachment

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"celeryport/membership"
)

var testStart = time.Unix(1_700_000_000, 0)

func TestReportsAreFullUntilLeaderAcknowledges(t *testing.T) {
	// A voter sends brief reports to save bytes. A new leader knows none of the instances
	// and needs a full report of each; without one it would never publish their addresses.
	r := NewRoster(2 * time.Second)
	i := membership.Instance{Name: "a", Incarnation: 1, Address: "10.0.0.1:1"}
	if _, urgent := r.Record(testStart, i); !urgent {
		t.Error("the start of an instance is not reported as urgent")
	}
	full := func() bool { return r.Reports(testStart)[0].Full }
	if !full() {
		t.Error("the first report is brief")
	}
	r.Acknowledge("a", 1, membership.Live)
	if full() || !r.Acknowledged("a") {
		t.Error("the leader acknowledged the report, but the next one is full or the instance is not acknowledged")
	}
	r.MarkUnknown("a")
	if !full() {
		t.Error("the leader does not know the instance, but the report is brief")
	}
}

func TestSilentInstancesAreNotReported(t *testing.T) {
	// An instance moved to another voter or died. If this voter kept reporting it, the
	// leader would publish its address for ever.
	r := NewRoster(2 * time.Second)
	r.Record(testStart, membership.Instance{Name: "a", Incarnation: 1})
	if got := r.Reports(testStart.Add(2 * time.Second))[0].Age; got != 2*time.Second {
		t.Errorf("the report is %s old, want 2s", got)
	}
	if got := r.Reports(testStart.Add(3 * time.Second)); len(got) != 0 || r.Size() != 0 {
		t.Errorf("a silent instance is reported: %v", got)
	}
}

func TestSupersededInstanceIsRejected(t *testing.T) {
	r := NewRoster(2 * time.Second)
	r.Record(testStart, membership.Instance{Name: "a", Incarnation: 3})
	r.MarkSuperseded("a", 7)
	if got := r.Reports(testStart); len(got) != 0 {
		t.Errorf("a superseded incarnation is reported: %v", got)
	}
	if verdict, _ := r.Record(testStart, membership.Instance{Name: "a", Incarnation: 3}); verdict != membership.Stale {
		t.Error("a superseded incarnation is accepted")
	}
	if got := r.Incarnation("a"); got != 7 {
		t.Errorf("the known incarnation is %d, want 7", got)
	}
	if verdict, urgent := r.Record(testStart, membership.Instance{Name: "a", Incarnation: 8}); verdict != membership.Accepted || !urgent {
		t.Error("a higher incarnation is not accepted as urgent")
	}
}

func TestDepartureIsReportedUntilLeaderAcknowledges(t *testing.T) {
	r := NewRoster(2 * time.Second)
	r.Record(testStart, membership.Instance{Name: "a", Incarnation: 1})
	r.Acknowledge("a", 1, membership.Live)
	if _, urgent := r.Record(testStart, membership.Instance{Name: "a", Incarnation: 1, State: membership.Gone}); !urgent {
		t.Error("the departure of an instance is not urgent")
	}
	if len(r.Reports(testStart)) != 1 {
		t.Error("a departure is not reported")
	}
	r.Acknowledge("a", 1, membership.Gone)
	if r.Size() != 0 {
		t.Error("an instance that left stays attached")
	}
}

func TestOrderSpreadsInstancesWithinTheirZone(t *testing.T) {
	// If all instances had the same order, all would sync with the same voter and the other
	// voters would be idle.
	voters := []string{"v0", "v1", "v2", "v3"}
	instances := []membership.Instance{
		{ControlAddress: "v0", AvailabilityZone: "a"},
		{ControlAddress: "v1", AvailabilityZone: "a"},
		{ControlAddress: "v2", AvailabilityZone: "b"},
		{ControlAddress: "v3", AvailabilityZone: "b"},
	}
	firsts := map[string]int{}
	for n := range 200 {
		order := Order(voters, instances, fmt.Sprint("front-", n), "b", "")
		firsts[order[0]]++
		if sorted := slices.Sorted(slices.Values(order)); !slices.Equal(sorted, voters) {
			t.Fatalf("order %v does not list all of %v", order, voters)
		}
	}
	if firsts["v2"] < 60 || firsts["v3"] < 60 || firsts["v2"]+firsts["v3"] != 200 {
		t.Errorf("preferred voters of 200 instances in zone b: %v", firsts)
	}
	if order := Order(voters, instances, "front-1", "b", "v2"); order[3] != "v2" || order[0] != "v3" {
		t.Errorf("order after v2 failed: %v", order)
	}
	if order := Order(nil, nil, "front-1", "b", "v2"); len(order) != 0 {
		t.Errorf("no voter is known, but the order is %v", order)
	}
}
