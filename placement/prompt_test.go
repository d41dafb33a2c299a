package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryport/loadshare"
	"celeryport/settings"
)

// testProfile is a typical engine: it prefills 154 tokens per millisecond, and a pass of 34
// steps takes 45 ms.
var testProfile = &settings.EngineProfile{
	Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond, PrefillRate: 154_000,
	PairsPerM: 162 * time.Microsecond, Chunk: 2048, MeanPrompt: 11_000, MeanAnswer: 1_300,
	MinPauseLimit: 250 * time.Millisecond,
}

func testEngines(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i].Order = uint64(i)
	}
	return engines
}

var (
	shortCall = Call{Prompt: 5_000, Answer: 1_300, Objective: 300 * time.Millisecond, LongPause: 250 * time.Millisecond, Remaining: 10 * time.Second}
	longCall  = Call{Prompt: 182_000, Answer: 650, Objective: 4 * time.Second, LongPause: time.Second, Remaining: 15 * time.Second}
	tightLong = Call{Prompt: 45_000, Answer: 780, Objective: 1500 * time.Millisecond, LongPause: 600 * time.Millisecond, Remaining: 10 * time.Second}
)

// addPlan adds a planned call to the loads, as instances do.
func addPlan(engines []Engine, plan *Plan, call *Call) {
	lead := &engines[plan.Lead].Load
	lead.Streams++
	lead.Leading++
	if Tight(testProfile, call.LongPause) {
		lead.Tight++
	}
	lead.Held += call.Prompt + call.Answer
	lead.PrefillTime += plan.Part + plan.Spacing
	for _, i := range plan.Helpers {
		engines[i].Load.PrefillTime += plan.Part + plan.Spacing
		engines[i].Load.Helping++
	}
}

func TestShortPromptsLeaveEnginesToLongOnes(t *testing.T) {
	// Forty short streams run at the same time. If they were spread evenly over all engines,
	// every long prompt would make some of them wait half a second for their next event.
	engines := testEngines(14)
	for range 40 {
		plan, found := Prompt(testProfile, engines, &shortCall)
		if !found {
			t.Fatal("a short prompt was rejected")
		}
		addPlan(engines, &plan, &shortCall)
		engines[plan.Lead].Load.PrefillTime, engines[plan.Lead].Load.Leading = 0, 0 // prefilled before the next prompt arrives
	}
	used := 0
	for i := range engines {
		if engines[i].Load.Streams > 0 {
			used++
		}
	}
	if used > 3 {
		t.Errorf("40 short streams are on %d of 14 engines, 3 have room for them", used)
	}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found {
		t.Fatal("the long prompt was rejected")
	}
	for _, i := range append([]int{plan.Lead}, plan.Helpers...) {
		if engines[i].Load.Tight > 0 {
			t.Errorf("engine %d has %d short streams and prefills a part of %s", i, engines[i].Load.Tight, plan.Part)
		}
	}
	if plan.FirstEvent > time.Second {
		t.Errorf("the first event of the long prompt comes after %s, although %d engines are idle", plan.FirstEvent, 14-used)
	}
}

func TestTightStreamsOfLongPromptsAreKeptFromLongPrefill(t *testing.T) {
	// A prompt of 45,000 tokens takes half a second to prefill, and its stream may not pause for
	// longer than 600 ms. On an engine that prefills parts of other prompts it does so again and
	// again.
	engines := testEngines(14)
	for range 3 {
		plan, found := Prompt(testProfile, engines, &longCall)
		switch {
		case found:
			addPlan(engines, &plan, &longCall)
		case plan.Wait == 0:
			t.Fatal("a long prompt was rejected")
		}
	}
	addPlan(engines, &Plan{Lead: 0}, &shortCall)
	engines[0].Load.PrefillTime, engines[0].Load.Leading = 0, 0
	plan, found := Prompt(testProfile, engines, &tightLong)
	if !found && plan.Wait == 0 {
		t.Fatal("the prompt was rejected")
	}
	for i := range engines {
		if !found && i > 2 && i < 8 { // five engines have prefilled their parts
			engines[i].Load.PrefillTime, engines[i].Load.Leading, engines[i].Load.Helping = 0, 0, 0
		}
	}
	if plan, found = Prompt(testProfile, engines, &tightLong); !found {
		t.Fatalf("plan %+v: rejected although five engines are free", plan)
	}
	if engines[plan.Lead].Load.PrefillTime+plan.Part > maxShortPrefill(testProfile) {
		t.Errorf("the stream is on engine %d, which has %s of prefill queued besides the part of %s", plan.Lead, engines[plan.Lead].Load.PrefillTime, plan.Part)
	}
}

func TestLongPromptsLeaveTheEnginesOfShortStreamsAlone(t *testing.T) {
	// Short streams are packed onto a few engines, which have nothing to prefill at the moment.
	// If a long prompt were prefilled there, the next short ones would go to all other engines,
	// until each engine had some and every long prompt made some of them late.
	engines := testEngines(16)
	for i := range 3 {
		engines[i].Load = loadshare.Load{Streams: 8, Tight: 8}
	}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || plan.Lead < 3 || slices.ContainsFunc(plan.Helpers, func(i int) bool { return i < 3 }) {
		t.Errorf("engines %v help engine %d (%t), engines 0 to 2 run short streams", plan.Helpers, plan.Lead, found)
	}
}

func TestNoEngineIsReservedForAbsentStreams(t *testing.T) {
	// A small fleet gets long prompts only. If engines were reserved for short streams, they
	// would be idle, and a prompt that needs the memory of three engines would always be
	// rejected.
	engines := testEngines(3)
	huge := longCall
	huge.Prompt, huge.Objective, huge.Remaining = 900_000, time.Minute, 2*time.Minute
	plan, found := Prompt(testProfile, engines, &huge)
	if !found || len(plan.Helpers) != 2 {
		t.Errorf("engines %v help (%t), want both other engines", plan.Helpers, found)
	}
}

func TestLongPromptsAvoidEnginesOfPackedShortStreams(t *testing.T) {
	// After a change of the mix every engine has short streams, and the first ones have the
	// fewest. If a long prompt were prefilled there, the next short ones would go to all other
	// engines.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 8, Tight: 8}
		if i < 3 {
			engines[i].Load = loadshare.Load{Streams: 2, Tight: 2}
		}
	}
	long := longCall
	long.Objective = 6 * time.Second
	if plan, found := Prompt(testProfile, engines, &long); found && plan.Lead < 3 || !found && plan.Wait == 0 {
		t.Errorf("plan %+v (%t), short streams are packed onto engines 0 to 2", plan, found)
	}
}

func TestLongPromptsAreNotPrefilledBesideLongStreams(t *testing.T) {
	// All engines run a stream with long pauses. Beside prefill each stream takes ten times as
	// long and holds the memory of its prompt, so that soon no engine has memory for the next
	// one. The streams end within a second by themselves.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Held: 150_000}
	}
	if plan, found := Prompt(testProfile, engines, &longCall); found || plan.Wait == 0 {
		t.Errorf("plan %+v (%t), want it to wait", plan, found)
	}
}

func TestLongStreamsShareEnginesWhileTheirPartsAreShort(t *testing.T) {
	// One engine runs a stream with long pauses. If each further one were placed on an engine of
	// its own, seven to nine of fourteen engines would run one stream each and prefill nothing,
	// and one long prompt in five would be rejected.
	engines := testEngines(16)
	engines[5].Load = loadshare.Load{Streams: 1, Held: 50_000}
	long := longCall
	long.Prompt = 60_000
	plan, found := Prompt(testProfile, engines, &long)
	if !found || plan.Lead != 5 || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want the stream on engine 5", plan, found)
	}
}

func TestTightStreamsOfLongPromptsShareEnginesWithShortOnes(t *testing.T) {
	// A stream that may pause for 600 ms runs for a second. On an engine of its own it would
	// keep that engine from long prefill; beside short streams it costs nothing, as long as the
	// other engines prefill most of its prompt.
	engines := testEngines(16)
	for i := range 2 {
		engines[i].Load = loadshare.Load{Streams: 6, Tight: 6}
	}
	plan, found := Prompt(testProfile, engines, &tightLong)
	if !found || plan.Lead > 2 || plan.Part > maxShortPrefill(testProfile) || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want a short part at one of the first engines", plan, found)
	}
}

func TestTightStreamsWaitForShortParts(t *testing.T) {
	// All engines except those of the short streams prefill long prompts for a third of a second
	// and run the streams of earlier ones. A tight stream on one of them would pause for too
	// long. It waits, but not for longer than half of its objective.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 2, Leading: 1, PrefillTime: 300 * time.Millisecond}
		if i < 2 {
			engines[i].Load = loadshare.Load{Streams: 6, Tight: 6}
		}
	}
	call := tightLong
	if plan, found := Prompt(testProfile, engines, &call); found || plan.Wait != minWait {
		t.Errorf("plan %+v (%t), want it to wait for engines with little prefill", plan, found)
	}
	call.Waited = call.Objective
	if plan, found := Prompt(testProfile, engines, &call); found || plan.Wait == minWait {
		t.Errorf("plan %+v (%t) after its objective has passed", plan, found)
	}
}

func TestLateStreamsDoNotBlockTheirEngines(t *testing.T) {
	// Every engine has streams that are late in any case. If engines were kept free for them,
	// they would be idle while long prompts are rejected.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 4, Late: 4}
	}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want several engines to prefill at once", plan, found)
	}
}

func TestPartsAvoidBusyEngines(t *testing.T) {
	// The prompt of a tight stream is prefilled in four short parts. An engine with a second of
	// queued prefill would delay the first event, and the other engines would count as helping
	// and be idle meanwhile.
	engines := testEngines(8)
	for i := range engines {
		if i < 5 {
			engines[i].Load.PrefillTime = time.Second
		}
	}
	plan, found := Prompt(testProfile, engines, &tightLong)
	if found {
		for _, i := range plan.Helpers {
			if engines[i].Load.PrefillTime > maxTightPart(testProfile) {
				t.Errorf("engine %d has a second of prefill queued before its part of %s", i, plan.Part)
			}
		}
	}
	if !found && plan.Wait == 0 {
		t.Error("the prompt was rejected")
	}
}

func TestStalledStreamsDoNotBlockTheirEngines(t *testing.T) {
	// After a change of the mix from short to long prompts every engine still has a tight stream
	// or two. If that kept them from prefill, one engine would prefill each long prompt alone,
	// for four seconds and more, and its streams would not progress.
	engines := testEngines(14)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Tight: 1}
	}
	if plan, found := Prompt(testProfile, engines, &longCall); !found && plan.Wait == 0 {
		t.Fatal("the long prompt was rejected")
	}
	long := longCall
	long.Waited = long.Objective / 2
	plan, found := Prompt(testProfile, engines, &long)
	if !found {
		t.Fatal("the long prompt still waits although its time runs short")
	}
	if len(plan.Helpers) == 0 || plan.FirstEvent > long.Objective-long.Waited {
		t.Errorf("%d engines help, and the first event comes after %s", len(plan.Helpers), plan.FirstEvent)
	}
}

func TestFullEnginesTakeNoMoreMemory(t *testing.T) {
	// An engine that runs out of memory evicts its newest stream, whose prompt is then prefilled
	// again from the start while the caller waits.
	engines := testEngines(8)
	for i := range engines {
		engines[i].Load.Held = 300_000
	}
	engines[5].Load.Held = 200_000
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || plan.Lead != 5 {
		t.Errorf("plan %+v (%t), want the engine with free memory as lead", plan, found)
	}
}

func TestLongPromptsWaitForFreeEngines(t *testing.T) {
	// Engines prefill the newest part first. If the second of two long prompts were placed on
	// the engines of the first one, the first prompt would have its first event late. With more
	// prompts, the oldest callers would never get an answer.
	engines := testEngines(18)
	first, found := Prompt(testProfile, engines, &longCall)
	if !found {
		t.Fatal("the first prompt was rejected")
	}
	addPlan(engines, &first, &longCall)
	second, found := Prompt(testProfile, engines, &longCall)
	if found {
		for _, i := range append([]int{second.Lead}, second.Helpers...) {
			if engines[i].Load.PrefillTime > maxFreePrefill(testProfile) {
				t.Errorf("engine %d gets a part while it has %s of prefill queued", i, engines[i].Load.PrefillTime)
			}
		}
	} else if second.Wait == 0 || second.Wait > first.Part {
		t.Errorf("the second prompt waits for %s, the engines are free in %s", second.Wait, first.Part)
	}
}

func TestLongPromptsWaitForManyTightStreams(t *testing.T) {
	// After a change of the mix every engine runs four short streams, and a long prompt arrives.
	// Prefilled beside them, it would make all of them pause for a second or two, and their
	// callers would give up in the middle. The streams end within two seconds by themselves.
	engines := testEngines(14)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 4, Tight: 4}
	}
	long := longCall
	long.Prompt = 350_000
	if plan, found := Prompt(testProfile, engines, &long); found || plan.Wait == 0 {
		t.Errorf("plan %+v (%t), want it to wait", plan, found)
	}
}

func TestEnginesThatPrefilledTheirPartsAreFree(t *testing.T) {
	// Twelve engines have prefilled their parts of a prompt whose first event waits for a slow
	// engine. A long prompt that waits for that event too is late, while they are idle.
	engines := testEngines(13)
	for i := range 12 {
		engines[i].Load.Helping = 1
	}
	engines[12].Load = loadshare.Load{Streams: 1, Leading: 1, PrefillTime: 2 * time.Second}
	if plan, found := Prompt(testProfile, engines, &longCall); !found || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want it to be prefilled at once by idle engines", plan, found)
	}
}

func TestLongPromptsAreAcceptedUpToTheirObjective(t *testing.T) {
	// Engines become free so late that the first event of a long prompt comes within the last
	// tenth of its objective. Predictions are accurate within a few hundredths of the objective.
	// If the prompt were rejected, the caller would retry when its answer can only be late.
	engines := testEngines(1)
	prompt := longCall
	prompt.Objective = PrefillTime(testProfile, prompt.Prompt) + 2*passTime(testProfile, 1)
	prompt.Objective += prompt.Objective / 14
	if plan, found := Prompt(testProfile, engines, &prompt); !found {
		t.Errorf("rejected with a first event after %s of %s", plan.FirstEvent, prompt.Objective)
	}
	prompt.Objective -= prompt.Objective / 8
	if plan, found := Prompt(testProfile, engines, &prompt); found {
		t.Errorf("accepted with a first event after %s of %s", plan.FirstEvent, prompt.Objective)
	}
}

// Guards against rejecting a prompt whose engine failed late, while other engines are idle.
func TestPromptsThatFailedLateGoToFreeEngines(t *testing.T) {
	engines := testEngines(17)
	failed := longCall
	failed.Waited, failed.Remaining = failed.Objective, 11*time.Second
	plan, found := Prompt(testProfile, engines, &failed)
	if !found || plan.FirstEvent > failed.Remaining/2 {
		t.Errorf("plan %+v (%t), want it to be prefilled at once", plan, found)
	}
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Leading: 1, PrefillTime: 500 * time.Millisecond}
	}
	if plan, found := Prompt(testProfile, engines, &failed); found || plan.Wait > 0 {
		t.Errorf("plan %+v (%t), want a rejection while no engine is free", plan, found)
	}
}

func TestOverdueCallsDontWait(t *testing.T) {
	// A caller was rejected and retries when the call is already late. If its prompt waited
	// again it would be queued behind all calls that can be in time, until its caller gives up.
	engines := testEngines(17)
	overdue := longCall
	overdue.Age, overdue.Waited = 3*time.Second, 3*time.Second
	if plan, found := Prompt(testProfile, engines, &overdue); !found {
		t.Errorf("plan %+v: rejected although all engines are idle", plan)
	}
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Leading: 1, PrefillTime: 500 * time.Millisecond}
	}
	if plan, found := Prompt(testProfile, engines, &overdue); found || plan.Wait > 0 {
		t.Errorf("plan %+v (%t), want a rejection", plan, found)
	}
}

func TestStreamsOfLongPromptsAreLeftAlone(t *testing.T) {
	// The prompt of a long call is prefilled, and its stream runs on one engine. If that engine
	// went on to prefill parts of other prompts, the stream would stall for more than a second
	// again and again.
	engines := testEngines(18)
	engines[3].Load = loadshare.Load{Streams: 1}
	engines[4].Load = loadshare.Load{Streams: 1}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || slices.Contains(plan.Helpers, 3) || slices.Contains(plan.Helpers, 4) {
		t.Errorf("engines %v help engine %d (%t), engines 3 and 4 run streams", plan.Helpers, plan.Lead, found)
	}
}

func TestEnginesThatLeadAPromptHelpNobody(t *testing.T) {
	// An engine prefills its part of a prompt that it leads. Parts that it helps with come
	// first, so with one part after the other its own caller would never get an answer. An
	// engine that helps as many prompts as it can rejects the whole call.
	engines := testEngines(18)
	engines[0].Load = loadshare.Load{Streams: 1, Tight: 1} // tight streams are packed onto it
	engines[5].Load.Leading = 1
	engines[6].Load.Helping = testProfile.Slots
	for range 20 {
		plan, found := Prompt(testProfile, engines, &tightLong)
		if !found && plan.Wait > 0 {
			for i := range engines {
				engines[i].Load.PrefillTime = 0 // all parts have been prefilled meanwhile
			}
			plan, found = Prompt(testProfile, engines, &tightLong)
		}
		if !found || slices.Contains(plan.Helpers, 5) || slices.Contains(plan.Helpers, 6) {
			t.Fatalf("engines %v help engine %d (%t), engine 5 leads a prompt, engine 6 helps many", plan.Helpers, plan.Lead, found)
		}
		for _, i := range plan.Helpers {
			engines[i].Load.PrefillTime += plan.Part // makes the next plan use other engines
		}
	}
}

func TestShortStreamsLeaveAFifthOfTheEngines(t *testing.T) {
	// Many short streams run while there are no long prompts. Spread over all engines they are
	// in time, but a long prompt that arrives then finds no free engine.
	engines := testEngines(20)
	random := rand.New(rand.NewPCG(1, 2))
	for range 140 {
		call := shortCall
		call.Draw = [2]float64{random.Float64(), random.Float64()}
		plan, found := Prompt(testProfile, engines, &call)
		if !found {
			t.Fatal("a short prompt was rejected")
		}
		addPlan(engines, &plan, &call)
		engines[plan.Lead].Load.PrefillTime, engines[plan.Lead].Load.Leading = 0, 0
	}
	without := 0
	for i := range engines {
		if engines[i].Load.Tight == 0 {
			without++
		}
	}
	if without < 4 {
		t.Errorf("%d of 20 engines are without short streams, want 4", without)
	}
}

func TestPartsDoNotDelayShortStreams(t *testing.T) {
	// Every engine has some short streams with pauses of at most 250 ms. They become late if two
	// parts fall into one pass, or if a part is so long because few engines share the prompt.
	engines := testEngines(17)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 6, Tight: 6}
	}
	long := longCall
	long.Prompt = 100_000
	first, found := Prompt(testProfile, engines, &long)
	if !found {
		t.Fatalf("plan %+v: rejected although all engines together can prefill it between two events of each stream", first)
	}
	pass := passTime(testProfile, 7)
	if part := PrefillTime(testProfile, long.Prompt) / time.Duration(1+len(first.Helpers)); part+pass > testProfile.MinPauseLimit {
		t.Errorf("%d engines prefill parts of %s, and a pass takes %s", 1+len(first.Helpers), part, pass)
	}
	addPlan(engines, &first, &long)
	part := PrefillTime(testProfile, long.Prompt) / time.Duration(1+len(first.Helpers))
	pass = passTime(testProfile, 6)
	for _, passed := range []time.Duration{part / 2, part, part + pass - maxFreePrefill(testProfile) - time.Millisecond} {
		then := slices.Clone(engines)
		for i := range then {
			then[i].Load = then[i].Load.After(passed)
			then[i].Load.Leading, then[i].Load.Helping = 0, 0
		}
		second, found := Prompt(testProfile, then, &long)
		if !found {
			continue
		}
		for _, i := range append(second.Helpers, second.Lead) {
			if i == first.Lead || slices.Contains(first.Helpers, i) {
				t.Errorf("engine %d gets a second part %s after the first, of %s and with a pass of %s", i, passed, part, pass)
			}
		}
	}
}

func TestLongPromptsWaitForEnginesBeforeTheyDoHarm(t *testing.T) {
	// After a change of the mix each engine runs short streams, and most prefill a part of
	// another prompt. If the next prompt were prefilled by the few that are free, their streams
	// would pause for a second; a moment later all engines are free and no stream is delayed.
	// When the time of the prompt runs short it is prefilled anyway.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 4, Tight: 4}
		if i >= 3 {
			engines[i].Load.PrefillTime = 150 * time.Millisecond
		}
	}
	long := longCall
	long.Prompt = 100_000
	plan, found := Prompt(testProfile, engines, &long)
	if found || plan.Wait == 0 {
		t.Fatalf("plan %+v (%t), want it to wait", plan, found)
	}
	free := slices.Clone(engines)
	for i := range free {
		free[i].Load = free[i].Load.After(150 * time.Millisecond)
	}
	if plan, found = Prompt(testProfile, free, &long); !found || len(plan.Helpers) < 10 {
		t.Errorf("plan %+v (%t), want all engines to prefill it", plan, found)
	}
	long.Waited = long.Objective / 2
	if plan, found = Prompt(testProfile, engines, &long); !found || plan.FirstEvent > long.Objective/2 {
		t.Errorf("plan %+v (%t), want it to be placed with half of its time left", plan, found)
	}
}

func TestInfeasibleCallsAreRejectedAtOnce(t *testing.T) {
	// All engines have more prefill queued than the caller will wait for. If the call were held
	// back, the caller would learn of it only at its deadline.
	engines := testEngines(3)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 3, PrefillTime: 30 * time.Second}
	}
	if plan, found := Prompt(testProfile, engines, &longCall); found {
		t.Errorf("accepted with plan %+v", plan)
	}
}

func TestServiceCallsPassOverFailedInstances(t *testing.T) {
	tests := []struct {
		name    string
		engines []Engine
		want    int
	}{
		{"the least loaded", []Engine{{Load: loadshare.Load{Streams: 3}, SameZone: true}, {Load: loadshare.Load{Streams: 1}}}, 1},
		{"of equal ones the one in the same zone", []Engine{{}, {SameZone: true}}, 1},
		{"not one that failed recently", []Engine{{Avoid: true, SameZone: true}, {Load: loadshare.Load{Streams: 6}}}, 1},
		{"not one that already received the call", []Engine{{Tried: true, SameZone: true}, {Avoid: true}}, 1},
		{"the only one, although it failed", []Engine{{Tried: true, Avoid: true}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, found := Service(test.engines, 0.5); !found || got != test.want {
				t.Errorf("chose %d (%t), want %d", got, found, test.want)
			}
		})
	}
	if _, found := Service(nil, 0.5); found {
		t.Error("chose an instance from an empty list")
	}
}

func TestPlansAreSound(t *testing.T) {
	// For any loads, a plan names no engine twice, has at most maxHelpers helpers, and its parts
	// add up to the prompt.
	rapid.Check(t, func(t *rapid.T) {
		engines := testEngines(rapid.IntRange(0, 24).Draw(t, "engines"))
		for i := range engines {
			engines[i].Load = loadshare.Load{
				Streams:     rapid.IntRange(0, 20).Draw(t, "streams"),
				PrefillTime: time.Duration(rapid.IntRange(0, 3000).Draw(t, "prefill")) * time.Millisecond,
				Held:        rapid.IntRange(0, 405_000).Draw(t, "held"),
			}
			engines[i].Load.Tight = rapid.IntRange(0, engines[i].Load.Streams).Draw(t, "tight")
			engines[i].Avoid = rapid.Bool().Draw(t, "avoid")
		}
		call := rapid.SampledFrom([]Call{shortCall, longCall, tightLong}).Draw(t, "call")
		call.Prompt = rapid.IntRange(1, 900_000).Draw(t, "prompt")
		plan, found := Prompt(testProfile, engines, &call)
		if !found {
			return
		}
		seen := map[int]bool{plan.Lead: true}
		for _, i := range plan.Helpers {
			if seen[i] || i < 0 || i >= len(engines) {
				t.Fatalf("engine %d is named twice or unknown: %+v", i, plan)
			}
			seen[i] = true
		}
		if len(plan.Helpers) > maxHelpers {
			t.Fatalf("%d helpers, more than the maximum", len(plan.Helpers))
		}
		whole := PrefillTime(testProfile, call.Prompt)
		if sum := plan.Part * time.Duration(len(seen)); sum < whole-time.Duration(len(seen)) || sum > whole {
			t.Fatalf("%d parts of %s make up %s of %s", len(seen), plan.Part, sum, whole)
		}
	})
}

// BenchmarkPrompt measures the planning of one call.
func BenchmarkPrompt(b *testing.B) {
	for _, n := range []int{14, 78, 600} {
		engines := testEngines(n)
		for i := range engines {
			engines[i].Load = loadshare.Load{Streams: i % 14, Tight: i % 3, PrefillTime: time.Duration(i%7) * 30 * time.Millisecond}
		}
		for name, call := range map[string]*Call{"short": &shortCall, "long": &longCall} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Prompt(testProfile, engines, call)
				}
			})
		}
	}
}
