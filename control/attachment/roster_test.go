package attachment

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"celeryport/membership"
)

var start = time.Unix(1_700_000_000, 0)

func TestStatementsAreWholeUntilTheLeaderHasThem(t *testing.T) {
	// A voter states its instances in brief to save bytes. A new leader knows none of
	// them; what it does not know must be stated whole, or it never hands them out.
	r := NewRoster(2 * time.Second)
	i := membership.Instance{Name: "a", Incarnation: 1, Address: "10.0.0.1:1"}
	if _, news := r.Heard(start, i); !news {
		t.Error("an instance that starts is no news")
	}
	whole := func() bool { return r.Statements(start)[0].Whole }
	if !whole() {
		t.Error("the first statement is brief")
	}
	r.Taken("a", 1, membership.Live)
	if whole() || !r.IsTaken("a") {
		t.Error("the leader has it, and it is stated whole or not taken")
	}
	r.Unknown("a")
	if !whole() {
		t.Error("the leader does not know it, and the statement is brief")
	}
}

func TestSilentInstancesAreNotStated(t *testing.T) {
	// An instance went to another voter or died. If this one went on stating it, the
	// leader would hand out its address for ever.
	r := NewRoster(2 * time.Second)
	r.Heard(start, membership.Instance{Name: "a", Incarnation: 1})
	if got := r.Statements(start.Add(2 * time.Second))[0].Age; got != 2*time.Second {
		t.Errorf("the statement is %s old, want 2s", got)
	}
	if got := r.Statements(start.Add(3 * time.Second)); len(got) != 0 || r.Size() != 0 {
		t.Errorf("a silent instance is stated: %v", got)
	}
}

func TestSupersededInstanceIsToldSo(t *testing.T) {
	r := NewRoster(2 * time.Second)
	r.Heard(start, membership.Instance{Name: "a", Incarnation: 3})
	r.Superseded("a", 7)
	if got := r.Statements(start); len(got) != 0 {
		t.Errorf("a superseded incarnation is stated: %v", got)
	}
	if verdict, _ := r.Heard(start, membership.Instance{Name: "a", Incarnation: 3}); verdict != membership.Stale {
		t.Error("a superseded incarnation is taken")
	}
	if got := r.Incarnation("a"); got != 7 {
		t.Errorf("the known incarnation is %d, want 7", got)
	}
	if verdict, news := r.Heard(start, membership.Instance{Name: "a", Incarnation: 8}); verdict != membership.Taken || !news {
		t.Error("a higher incarnation is not taken as news")
	}
}

func TestGoodbyeIsStatedUntilTheLeaderHasIt(t *testing.T) {
	r := NewRoster(2 * time.Second)
	r.Heard(start, membership.Instance{Name: "a", Incarnation: 1})
	r.Taken("a", 1, membership.Live)
	if _, news := r.Heard(start, membership.Instance{Name: "a", Incarnation: 1, State: membership.Gone}); !news {
		t.Error("a goodbye is no news")
	}
	if len(r.Statements(start)) != 1 {
		t.Error("a goodbye is not stated")
	}
	r.Taken("a", 1, membership.Gone)
	if r.Size() != 0 {
		t.Error("an instance that said goodbye stays attached")
	}
}

func TestOrderSpreadsInstancesWithinTheirZone(t *testing.T) {
	// Without an order of its own for each instance, all would ask one voter, and the
	// others would have nothing to do.
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
			t.Fatalf("%v is not all of %v", order, voters)
		}
	}
	if firsts["v2"] < 60 || firsts["v3"] < 60 || firsts["v2"]+firsts["v3"] != 200 {
		t.Errorf("200 instances of zone b begin with %v", firsts)
	}
	if order := Order(voters, instances, "front-1", "b", "v2"); order[3] != "v2" || order[0] != "v3" {
		t.Errorf("after v2 failed the order is %v", order)
	}
	if order := Order(nil, nil, "front-1", "b", "v2"); len(order) != 0 {
		t.Errorf("nobody is known, and the order is %v", order)
	}
}
