package bench

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// smallSite is a site for tests of seconds: four engines, three instances.
func smallSite() Site {
	site := Aretusa()
	site.Name, site.Engines, site.Instances = "small", 4, 3
	site.Organisations = []Organisation{{"a", 5, 6}, {"b", 3, 3}, {"c", 2, 3}}
	return site
}

// play runs a row and returns its world when all has ended.
func play(site *Site, policy Policy, fault Fault, load float64, length time.Duration, seed uint64) *world {
	during := period{from: length / 3, until: length * 2 / 3}
	trace := newTrace(site, load, length, seed)
	trace = append(trace, fault.extra(site, seed, during)...)
	w := newWorld(site, policy, seed, fault.config())
	fault.plan(w, during)
	w.run(trace, length)
	return w
}

// checkPromises fails on what may never happen, whatever the load and the fault.
func checkPromises(t interface{ Fatalf(string, ...any) }, w *world, mayLose bool) {
	for _, l := range w.record.order {
		r := l.request
		if l.ends > 1 || l.ends == 0 && !mayLose {
			t.Fatalf("request %s got %d final answers", r.ID, l.ends)
		}
		if l.finished > 0 && r.Deadline.Before(epoch.Add(l.finished)) {
			t.Fatalf("request %s was answered at %v, after its deadline", r.ID, l.finished)
		}
		if l.refused > 0 && l.refused > r.Deadline.Sub(epoch)+time.Millisecond {
			t.Fatalf("request %s was refused at %v, after its deadline", r.ID, l.refused)
		}
	}
	for _, h := range w.order {
		if !h.down && len(h.engine.Holdings(w.time())) > 0 {
			t.Fatalf("%s still holds %+v", h.name, h.engine.Holdings(w.time()))
		}
	}
}

// Each fault of the bench, on a small site. A user would notice a missing, a late
// or a second answer, or, hours later, engines whose memory never came back.
func TestEachFaultLeavesThePromises(t *testing.T) {
	for _, fault := range append([]Fault{NoFault}, Faults...) {
		t.Run(string(fault), func(t *testing.T) {
			site := smallSite()
			w := play(&site, Celeryport, fault, normal, 200*time.Second, 7)
			checkPromises(t, w, fault == EntryDies)
			served := 0
			for _, l := range w.record.order {
				if l.finished > 0 {
					served++
				}
			}
			if served < len(w.record.order)*8/10 {
				t.Fatalf("%d of %d requests were served", served, len(w.record.order))
			}
		})
	}
}

// The same requests under both policies, at any load and fault. Celeryport may
// serve only what the naive policy could serve as well: what fits into the
// engines there are, once, on memory that was free, in time.
func TestCeleryportServesOnlyWhatNaiveCouldLegallyServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := smallSite()
		site.Engines = rapid.IntRange(1, 4).Draw(t, "engines")
		fault := rapid.SampledFrom(append([]Fault{NoFault}, Faults...)).Draw(t, "fault")
		load := rapid.Float64Range(0.1, 1.5).Draw(t, "load")
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		ours := play(&site, Celeryport, fault, load, 30*time.Second, seed)
		naive := play(&site, Naive, fault, load, 30*time.Second, seed)
		checkPromises(t, ours, fault == EntryDies)
		for _, l := range ours.record.order {
			other := naive.record.lives[l.request.ID]
			impossible := other.err != nil && other.err.Reason == "too-long"
			if l.finished > 0 && impossible {
				t.Fatalf("served %d tokens, which naive refused: %v", l.request.PromptTokens, other.err)
			}
		}
		for _, h := range ours.order {
			if h.overbooked != "" {
				t.Fatal(h.overbooked)
			}
		}
	})
}

// Six prompts of a million tokens want spans at one moment at three instances,
// and the engines can hold one of them. If each held half of what another needs,
// none would ever run, and all six callers would wait to their deadline.
func TestCompetingSpansAllRunInTurn(t *testing.T) {
	site := smallSite()
	w := newWorld(&site, Celeryport, 1, engineConfig())
	w.run(GiantPrompts.extra(&site, 1, faultPeriod), faultPeriod.from+time.Minute)
	checkPromises(t, w, false)
	for _, l := range w.record.order {
		if l.finished == 0 {
			t.Errorf("%s of %d tokens: %v", l.request.ID, l.request.PromptTokens, l.err)
		}
	}
}

// An instance dies while its span holds memory on three engines. Nobody frees
// it; were the reservations not leased, the engines would stay half their size.
func TestADeadInstanceLeavesNoMemoryHeld(t *testing.T) {
	site := smallSite()
	w := newWorld(&site, Celeryport, 1, engineConfig())
	held := 0
	w.events.plan(faultPeriod.from+10*time.Second, func() {
		for _, h := range w.order {
			held += len(h.engine.Holdings(w.time()))
		}
		for _, i := range w.instances {
			i.vanish()
		}
	})
	w.run(GiantPrompts.extra(&site, 1, faultPeriod)[:1], faultPeriod.from+time.Minute)
	if held < 3 {
		t.Fatalf("the span held %d parts when the instance died", held)
	}
	checkPromises(t, w, true)
}

// All organisations ask for more than their share for five minutes. Users of the
// small ones would notice that the loudest gets the fleet.
func TestSharesFollowTheWeightsAtOverload(t *testing.T) {
	site := smallSite()
	site.Mix[3].Longest = 300_000 // many prompts rather than few, for a short run
	const length = 900 * time.Second
	w := play(&site, Celeryport, NoFault, 1.4, length, 3)
	result := w.record.result(&site)
	for name, share := range result.Shares {
		if share < 0.9 || share > 1.1 {
			t.Errorf("organisation %s got %.2f of its fair share", name, share)
		}
	}
	if result.RefusalDelay > maxRefusalDelay {
		t.Errorf("a refusal came %.2f s after it was known", result.RefusalDelay)
	}
}

// Counter prompts keep coming at more than the fleet can do, and audits wait. An
// audit that always gives way would never be answered, or only by chance.
func TestLongPromptsDoNotStarveBesideAFloodOfShortOnes(t *testing.T) {
	site := smallSite()
	site.Mix[0].Part, site.Mix[1].Part, site.Mix[2].Part, site.Mix[3].Part = 0.5, 0.49, 0.01, 0
	w := play(&site, Celeryport, NoFault, 1.3, 300*time.Second, 5)
	long, served := 0, 0
	for _, l := range w.record.order {
		if !l.request.Long {
			continue
		}
		long++
		if l.finished > 0 {
			served++
		}
	}
	if long < 10 || served < long*8/10 {
		t.Fatalf("%d of %d long prompts were served", served, long)
	}
}

func TestTheBenchIsDeterministic(t *testing.T) {
	site := smallSite()
	one := play(&site, Celeryport, EngineDies, normal, 200*time.Second, 2).record.result(&site)
	two := play(&site, Celeryport, EngineDies, normal, 200*time.Second, 2).record.result(&site)
	if one.Served != two.Served || one.Short != two.Short || one.QueueJump != two.QueueJump {
		t.Fatalf("two runs of one seed differ: %+v and %+v", one.Short, two.Short)
	}
}

func TestBarLineNamesTheRow(t *testing.T) {
	line := most("aretusa/80%", "short slowdown p95", 1.3, 1.25).String()
	if !strings.HasPrefix(line, "FAIL") || !strings.Contains(line, "aretusa/80%") {
		t.Fatal(line)
	}
}
