package bench

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// smallSite returns a site of four engines and three instances, small enough for
// tests that run in seconds.
func smallSite() Site {
	site := Aretusa()
	site.Name, site.Engines, site.Instances = "small", 4, 3
	site.Organisations = []Organisation{{"a", 5, 6}, {"b", 3, 3}, {"c", 2, 3}}
	return site
}

// playSmall runs a trace on the site and returns the simulation after it has ended.
func playSmall(site *Site, policy Policy, fault Fault, load float64, length time.Duration, seed uint64) *simulation {
	during := period{start: length / 3, end: length * 2 / 3}
	trace := newTrace(site, load, length, seed)
	trace = append(trace, fault.extraArrivals(site, seed, during)...)
	sim := newSimulation(site, policy, seed, fault.hostConfig())
	fault.schedule(sim, during)
	sim.run(trace, length)
	return sim
}

// checkInvariants checks what must hold at every load and under every fault: each
// request gets exactly one final answer, none comes after the deadline, and the
// engines hold no memory at the end. With mayLose a request may have no answer, since
// an instance that crashes loses its requests.
func checkInvariants(t interface{ Fatalf(string, ...any) }, sim *simulation, mayLose bool) {
	for _, rec := range sim.recorder.order {
		r := rec.request
		if rec.answers > 1 || rec.answers == 0 && !mayLose {
			t.Fatalf("request %s got %d final answers", r.ID, rec.answers)
		}
		if rec.finished > 0 && r.Deadline.Before(epoch.Add(rec.finished)) {
			t.Fatalf("request %s was answered at %v, after its deadline", r.ID, rec.finished)
		}
		if rec.refused > 0 && rec.refused > r.Deadline.Sub(epoch)+time.Millisecond {
			t.Fatalf("request %s was refused at %v, after its deadline", r.ID, rec.refused)
		}
	}
	for _, h := range sim.order {
		if !h.down && len(h.engine.Holdings(sim.time())) > 0 {
			t.Fatalf("%s still holds %+v", h.name, h.engine.Holdings(sim.time()))
		}
	}
}

// Guards against missing, late or repeated answers and against engine memory that
// is never released, under each fault of the bench.
func TestFaultsCauseNoMissingLateOrRepeatedAnswer(t *testing.T) {
	for _, fault := range append([]Fault{NoFault}, Faults...) {
		t.Run(string(fault), func(t *testing.T) {
			site := smallSite()
			sim := playSmall(&site, Celeryport, fault, normalLoad, 200*time.Second, 7)
			checkInvariants(t, sim, fault == EntryCrash)
			served := 0
			for _, rec := range sim.recorder.order {
				if rec.finished > 0 {
					served++
				}
			}
			if served < len(sim.recorder.order)*8/10 {
				t.Fatalf("%d of %d requests were served", served, len(sim.recorder.order))
			}
		})
	}
}

// Both policies get the same requests at random loads and faults. Celeryport must
// not serve a request that the naive policy refused as too long for the engines,
// nor exceed the memory of an engine, nor answer late or twice.
func TestCeleryportServesOnlyFeasibleRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := smallSite()
		site.Engines = rapid.IntRange(1, 4).Draw(t, "engines")
		fault := rapid.SampledFrom(append([]Fault{NoFault}, Faults...)).Draw(t, "fault")
		load := rapid.Float64Range(0.1, 1.5).Draw(t, "load")
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		ours := playSmall(&site, Celeryport, fault, load, 30*time.Second, seed)
		naive := playSmall(&site, Naive, fault, load, 30*time.Second, seed)
		checkInvariants(t, ours, fault == EntryCrash)
		for _, rec := range ours.recorder.order {
			other := naive.recorder.byID[rec.request.ID]
			impossible := other.err != nil && other.err.Reason == "too-long"
			if rec.finished > 0 && impossible {
				t.Fatalf("served %d tokens, which the naive policy refused: %v", rec.request.PromptTokens, other.err)
			}
		}
		for _, h := range ours.order {
			if h.overbooked != "" {
				t.Fatal(h.overbooked)
			}
		}
	})
}

// Guards against a deadlock between spans: six prompts of a million tokens arrive
// at three instances at the same time, and the engines can hold one of them. If
// each span reserved half of what another needs, none would run before its
// deadline.
func TestCompetingSpansAllRunInTurn(t *testing.T) {
	site := smallSite()
	sim := newSimulation(&site, Celeryport, 1, engineConfig())
	sim.run(GiantPrompts.extraArrivals(&site, 1, faultPeriod), faultPeriod.start+time.Minute)
	checkInvariants(t, sim, false)
	for _, rec := range sim.recorder.order {
		if rec.finished == 0 {
			t.Errorf("%s of %d tokens: %v", rec.request.ID, rec.request.PromptTokens, rec.err)
		}
	}
}

// An instance loses power while its span holds memory on three engines, so nothing
// releases it. Without leases on the reservations the memory would stay occupied.
func TestADeadInstanceLeavesNoMemoryHeld(t *testing.T) {
	site := smallSite()
	sim := newSimulation(&site, Celeryport, 1, engineConfig())
	held := 0
	sim.eventQueue.schedule(faultPeriod.start+10*time.Second, func() {
		for _, h := range sim.order {
			held += len(h.engine.Holdings(sim.time()))
		}
		for _, i := range sim.instances {
			i.powerOff()
		}
	})
	sim.run(GiantPrompts.extraArrivals(&site, 1, faultPeriod)[:1], faultPeriod.start+time.Minute)
	if held < 3 {
		t.Fatalf("the span held %d parts when the instance died", held)
	}
	checkInvariants(t, sim, true)
}

// Guards against unfair shares at overload: every organisation requests at least its
// share for fifteen minutes, and one with excess demand must not take the shares of
// the smaller ones.
func TestSharesFollowTheWeightsAtOverload(t *testing.T) {
	site := smallSite()
	site.Mix[3].Longest = 300_000 // many prompts instead of a few very long ones, for a short run
	const length = 900 * time.Second
	sim := playSmall(&site, Celeryport, NoFault, 1.4, length, 3)
	result := sim.recorder.result(&site)
	for name, share := range result.Shares {
		if share < 0.9 || share > 1.1 {
			t.Errorf("organisation %s got %.2f of its fair share", name, share)
		}
	}
	if result.RefusalDelay > maxRefusalDelay {
		t.Errorf("a refusal came %.2f s after the deadline became unreachable", result.RefusalDelay)
	}
}

// Guards against starvation: short prompts arrive at more than the capacity of the
// site while long prompts wait. A long prompt that always yields to short ones
// would not be served before its deadline.
func TestLongPromptsDoNotStarveBesideAFloodOfShortOnes(t *testing.T) {
	site := smallSite()
	site.Mix[0].Share, site.Mix[1].Share, site.Mix[2].Share, site.Mix[3].Share = 0.5, 0.49, 0.01, 0
	sim := playSmall(&site, Celeryport, NoFault, 1.3, 300*time.Second, 5)
	long, served := 0, 0
	for _, rec := range sim.recorder.order {
		if !rec.request.Long {
			continue
		}
		long++
		if rec.finished > 0 {
			served++
		}
	}
	if long < 10 || served < long*8/10 {
		t.Fatalf("%d of %d long prompts were served", served, long)
	}
}

func TestTheBenchIsDeterministic(t *testing.T) {
	site := smallSite()
	one := playSmall(&site, Celeryport, EngineCrash, normalLoad, 200*time.Second, 2).recorder.result(&site)
	two := playSmall(&site, Celeryport, EngineCrash, normalLoad, 200*time.Second, 2).recorder.result(&site)
	if one.Served != two.Served || one.Short != two.Short || one.QueueJump != two.QueueJump {
		t.Fatalf("two runs of one seed differ: %+v and %+v", one.Short, two.Short)
	}
}

func TestCriterionLineContainsRowName(t *testing.T) {
	line := atMost("aretusa/80%", "short slowdown p95", 1.3, 1.25).String()
	if !strings.HasPrefix(line, "FAIL") || !strings.Contains(line, "aretusa/80%") {
		t.Fatal(line)
	}
}
