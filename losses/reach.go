package losses

import (
	"cmp"
	"slices"
	"time"

	"celeryport/explain"
	"celeryport/placement"
	"celeryport/planner"
	"celeryport/settings"
)

// Reach compares the value served in time on one route with that allowed by engine time.
type Reach struct {
	Route     string  `json:"route"`
	Calls     int     `json:"calls"` // calls with a prompt, without retries
	Reached   float64 `json:"reached"`
	Reachable float64 `json:"reachable"` // by the best plan with advance knowledge of all calls
}

// reachSlot is the time resolution of the plan.
const reachSlot = 100 * time.Millisecond

// ReachOf computes, for the routes with prompts, the fraction of their value that was served
// in time and an upper bound by engine time alone. The number of engines over time is the one
// that instances saw when they placed calls.
func ReachOf(lines []explain.Line, profile *settings.EngineProfile) []Reach {
	calls := promptCalls(lines)
	if len(calls) == 0 {
		return nil
	}
	begin := calls[0].arrived
	planned := make([]planner.Call, len(calls))
	for i := range calls {
		c := &calls[i]
		planned[i] = planner.Call{
			Arrived: c.arrived.Sub(begin), Objective: c.objective, Need: engineTime(profile, c), Value: c.value,
		}
	}
	parts := planner.Reachable(planned, planner.Capacity{Slot: reachSlot, Slots: engineTimePerSlot(calls, begin)})
	routes, value := map[string]*Reach{}, map[string]float64{}
	for i := range calls {
		c := &calls[i]
		r := routes[c.route]
		if r == nil {
			r = &Reach{Route: c.route}
			routes[c.route] = r
		}
		r.Calls++
		value[c.route] += c.value
		r.Reachable += parts[i] * c.value
		if c.cause == None {
			r.Reached += c.value
		}
	}
	var list []Reach
	for name, r := range routes {
		r.Reached /= value[name]
		r.Reachable /= value[name]
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Reach) int { return cmp.Compare(a.Route, b.Route) })
	return list
}

// promptCalls returns the calls with prompts, except retries, in order of arrival.
func promptCalls(lines []explain.Line) []call {
	var calls []call
	for i := range lines {
		if c, ended := callOf(&lines[i]); ended && c.prompt > 0 && !c.retried {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b call) int { return a.arrived.Compare(b.arrived) })
	return calls
}

// engineTime returns the minimum engine time of a call, in seconds: its prefill, and its
// share of the decode passes of an engine with all slots in use. A missing answer counts
// as empty, so that the result remains a lower bound.
func engineTime(p *settings.EngineProfile, c *call) float64 {
	step := p.Step.Seconds()/float64(max(1, p.Slots)) + p.StepPerSequence.Seconds()
	return placement.PrefillTime(p, int(c.prompt)).Seconds() + c.events*float64(max(1, p.Stride))*step
}

// engineTimePerSlot returns the engine time available in each reachSlot, from the
// maximum number of engines seen by the calls that arrived in it. A slot without calls
// has the value of the previous slot.
func engineTimePerSlot(calls []call, begin time.Time) []float64 {
	var seen []float64
	for i := range calls {
		at := int(calls[i].arrived.Sub(begin) / reachSlot)
		last := int((calls[i].arrived.Sub(begin) + calls[i].objective) / reachSlot)
		for len(seen) <= max(at, last) {
			seen = append(seen, 0)
		}
		seen[at] = max(seen[at], calls[i].engines)
	}
	engines := 0.0
	slots := make([]float64, len(seen))
	for at := range seen {
		if seen[at] > 0 {
			engines = seen[at]
		}
		slots[at] = engines * reachSlot.Seconds()
	}
	return slots
}
