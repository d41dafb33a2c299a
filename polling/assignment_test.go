package polling

import (
	"fmt"
	"slices"
	"testing"

	"celeryport/loadshare"
)

const testPollers = 2

func testFleet(instances, upstreams int) ([]string, []loadshare.Key) {
	var fleet []string
	for i := range instances {
		fleet = append(fleet, fmt.Sprint("front-", i))
	}
	var keys []loadshare.Key
	for i := range upstreams {
		keys = append(keys, loadshare.KeyOf(fmt.Sprint("engine-", i)))
	}
	return fleet, keys
}

func pollersOf(fleet []string, keys []loadshare.Key) map[loadshare.Key][]string {
	pollers := map[loadshare.Key][]string{}
	for _, name := range fleet {
		a := Assign(name, slices.Values(fleet), testPollers)
		for _, key := range keys {
			if a.Includes(key) {
				pollers[key] = append(pollers[key], name)
			}
		}
	}
	return pollers
}

// Guards against an upstream that nobody polls, or that the whole fleet polls.
func TestEachUpstreamHasItsPollers(t *testing.T) {
	for _, instances := range []int{1, 2, 3, 8, 100, 985} {
		fleet, keys := testFleet(instances, 300)
		pollers := pollersOf(fleet, keys)
		for _, key := range keys {
			if got := len(pollers[key]); got != min(testPollers, instances) {
				t.Fatalf("%d instances: an upstream has %d pollers", instances, got)
			}
		}
	}
}

// Guards against an instance that polls a large part of the upstreams while others poll none.
func TestPollsAreSpreadOverTheInstances(t *testing.T) {
	for _, instances := range []int{100, 985, 1970} {
		fleet, keys := testFleet(instances, instances)
		load := map[string]int{}
		for _, names := range pollersOf(fleet, keys) {
			for _, name := range names {
				load[name]++
			}
		}
		most := 0
		for _, polls := range load {
			most = max(most, polls)
		}
		if limit := 10 * testPollers; most > limit {
			t.Errorf("%d instances: one polls %d upstreams, %d on the mean", instances, most, testPollers)
		}
	}
}

// Guards against new connections to all upstreams whenever one instance stops.
func TestOnlyThePartOfALostInstanceMoves(t *testing.T) {
	fleet, keys := testFleet(60, 400)
	before := pollersOf(fleet, keys)
	lost := fleet[17]
	after := pollersOf(slices.Delete(slices.Clone(fleet), 17, 18), keys)
	for _, key := range keys {
		kept := slices.DeleteFunc(slices.Clone(before[key]), func(name string) bool { return name == lost })
		for _, name := range kept {
			if !slices.Contains(after[key], name) {
				t.Errorf("%s no longer polls an upstream after the loss of %s", name, lost)
			}
		}
	}
}

// Guards against a choice of the polled upstreams whose cost grows with instances times
// upstreams: at a thousand of each it took a fifth of a small instance's processor.
func TestInstancesAreVisitedOnceForAllUpstreams(t *testing.T) {
	names, keys := testFleet(985, 1003)
	visited := 0
	counted := func(yield func(string) bool) {
		for _, name := range names {
			visited++
			if !yield(name) {
				return
			}
		}
	}
	a := Assign(names[0], counted, testPollers)
	polled := 0
	for _, key := range keys {
		if a.Includes(key) {
			polled++
		}
	}
	if polled == len(keys) {
		t.Errorf("one of %d instances polls all %d upstreams", len(names), polled)
	}
	if visited != len(names) {
		t.Errorf("%d visits to %d instances", visited, len(names))
	}
}

// BenchmarkAssignment measures the choice of the polled upstreams, which each instance makes
// every second.
func BenchmarkAssignment(b *testing.B) {
	for _, size := range []int{100, 985, 1970} {
		names, keys := testFleet(size, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				a := Assign(names[0], slices.Values(names), testPollers)
				for _, key := range keys {
					a.Includes(key)
				}
			}
		})
	}
}
