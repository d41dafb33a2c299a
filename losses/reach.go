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

// Reach compares what one route was served in time with what engine time allowed.
type Reach struct {
	Route     string  `json:"route"`
	Calls     int     `json:"calls"` // with a prompt; those that came back after a refusal count once
	Reached   float64 `json:"reached"`
	Reachable float64 `json:"reachable"` // of the best plan that knows all calls beforehand
}

// reachSlot is how finely engine time is divided.
const reachSlot = 100 * time.Millisecond

// ReachOf computes for the routes with prompts which part of their value was served in time
// and which part could have been, as far as engine time alone decides. Engines count as there
// as long as the instances that placed calls saw them.
func ReachOf(lines []explain.Line, profile *settings.EngineProfile) []Reach {
	calls := promptsOf(lines)
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
	parts := planner.Reachable(planned, planner.Capacity{Slot: reachSlot, Slots: enginesOver(calls, begin)})
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

// promptsOf lists the calls with prompts in the order of their arrival.
func promptsOf(lines []explain.Line) []call {
	var calls []call
	for i := range lines {
		if c, ended := callOf(&lines[i]); ended && c.prompt > 0 && !c.returned {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b call) int { return a.arrived.Compare(b.arrived) })
	return calls
}

// engineTime is the least time of one engine that a call takes, in seconds: its reading,
// and its part of the passes of an engine that writes as many streams as it has slots. An
// answer that did not come counts as none, so that the bound stays one.
func engineTime(p *settings.EngineProfile, c *call) float64 {
	step := p.Step.Seconds()/float64(max(1, p.Slots)) + p.StepPerWriter.Seconds()
	return placement.PrefillTime(p, int(c.prompt)).Seconds() + c.events*float64(max(1, p.Stride))*step
}

// enginesOver returns the engine time of each slot, by the most engines that any call of
// the slot saw; a slot without calls is like the one before.
func enginesOver(calls []call, begin time.Time) []float64 {
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
