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

// testProfile has the figures of a usual engine: 154 prompt tokens are read in a
// millisecond, and a pass of 34 steps takes 45 ms.
var testProfile = &settings.EngineProfile{
	Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond, ReadRate: 154_000,
	PairsPerM: 162 * time.Microsecond, Chunk: 2048, UsualPrompt: 11_000, UsualAnswer: 1_300,
	LeastPause: 250 * time.Millisecond,
}

func testEngines(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i].Order = uint64(i)
	}
	return engines
}

var (
	shortCall = Call{Prompt: 5_000, Answer: 1_300, Objective: 300 * time.Millisecond, LongPause: 250 * time.Millisecond, Left: 10 * time.Second}
	longCall  = Call{Prompt: 182_000, Answer: 650, Objective: 4 * time.Second, LongPause: time.Second, Left: 15 * time.Second}
	tightLong = Call{Prompt: 45_000, Answer: 780, Objective: 1500 * time.Millisecond, LongPause: 600 * time.Millisecond, Left: 10 * time.Second}
)

// put adds a planned call to the loads, as instances do.
func put(engines []Engine, plan *Plan, call *Call) {
	lead := &engines[plan.Lead].Load
	lead.Streams++
	lead.Leading++
	if Tight(testProfile, call.LongPause) {
		lead.Tight++
	}
	lead.Held += call.Prompt + call.Answer
	lead.Reading += plan.Part + plan.Apart
	for _, i := range plan.Helpers {
		engines[i].Load.Reading += plan.Part + plan.Apart
		engines[i].Load.Helping++
	}
}

func TestShortPromptsLeaveEnginesToLongOnes(t *testing.T) {
	// Forty short streams run at the same time. Spread evenly over all engines, they
	// would be on each of them, and every long prompt would make some of them wait
	// half a second for their next event.
	engines := testEngines(14)
	for range 40 {
		plan, found := Prompt(testProfile, engines, &shortCall)
		if !found {
			t.Fatal("a short prompt was refused")
		}
		put(engines, &plan, &shortCall)
		engines[plan.Lead].Load.Reading, engines[plan.Lead].Load.Leading = 0, 0 // it is read before the next one comes
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
		t.Fatal("the long prompt was refused")
	}
	for _, i := range append([]int{plan.Lead}, plan.Helpers...) {
		if engines[i].Load.Tight > 0 {
			t.Errorf("engine %d has %d short streams and reads a part of %s", i, engines[i].Load.Tight, plan.Part)
		}
	}
	if plan.FirstEvent > time.Second {
		t.Errorf("the first event of the long prompt comes after %s, although %d engines are idle", plan.FirstEvent, 14-used)
	}
}

func TestTightStreamsOfLongPromptsAreKeptFromLongReading(t *testing.T) {
	// A prompt of 45,000 tokens takes half a second of reading, and its stream may
	// not pause for longer than 600 ms. On an engine that reads the parts of others
	// it does, again and again.
	engines := testEngines(14)
	for range 3 {
		plan, found := Prompt(testProfile, engines, &longCall)
		switch {
		case found:
			put(engines, &plan, &longCall)
		case plan.Wait == 0:
			t.Fatal("a long prompt was refused")
		}
	}
	put(engines, &Plan{Lead: 0}, &shortCall)
	engines[0].Load.Reading, engines[0].Load.Leading = 0, 0
	plan, found := Prompt(testProfile, engines, &tightLong)
	if !found && plan.Wait == 0 {
		t.Fatal("it was refused")
	}
	for i := range engines {
		if !found && i > 2 && i < 8 { // five engines have read their parts
			engines[i].Load.Reading, engines[i].Load.Leading, engines[i].Load.Helping = 0, 0, 0
		}
	}
	if plan, found = Prompt(testProfile, engines, &tightLong); !found {
		t.Fatalf("plan %+v: refused although five engines are free", plan)
	}
	if engines[plan.Lead].Load.Reading+plan.Part > shortReading(testProfile) {
		t.Errorf("its stream is on engine %d, which reads %s besides its part of %s", plan.Lead, engines[plan.Lead].Load.Reading, plan.Part)
	}
}

func TestLongPromptsLeaveTheEnginesOfShortStreamsAlone(t *testing.T) {
	// Short streams gather on a few engines, which have nothing to read just now. A long
	// prompt that is read there sends the next short ones to all other engines, until
	// each engine has some and every long prompt makes some of them late.
	engines := testEngines(16)
	for i := range 3 {
		engines[i].Load = loadshare.Load{Streams: 8, Tight: 8}
	}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || plan.Lead < 3 || slices.ContainsFunc(plan.Helpers, func(i int) bool { return i < 3 }) {
		t.Errorf("engines %v help engine %d (%t), 0 to 2 write short streams", plan.Helpers, plan.Lead, found)
	}
}

func TestNoEngineIsKeptForStreamsThatAreNotThere(t *testing.T) {
	// A small fleet gets long prompts only. Engines that are kept for short streams stand
	// idle, and a prompt that needs the memory of three engines is refused for good.
	engines := testEngines(3)
	huge := longCall
	huge.Prompt, huge.Objective, huge.Left = 900_000, time.Minute, 2*time.Minute
	plan, found := Prompt(testProfile, engines, &huge)
	if !found || len(plan.Helpers) != 2 {
		t.Errorf("engines %v help (%t), want both others", plan.Helpers, found)
	}
}

func TestLongPromptsKeepAwayFromWhereShortStreamsGather(t *testing.T) {
	// The mix has turned, and every engine has short streams, the first ones fewest. A
	// long prompt that is read there sends the next short ones to all other engines.
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
		t.Errorf("plan %+v (%t), engines 0 to 2 are those where short streams gather", plan, found)
	}
}

func TestLongPromptsAreNotReadBesideLongStreams(t *testing.T) {
	// All engines write a long stream. Beside reading, each takes ten times as long and
	// keeps the memory of its prompt: soon no engine has memory for the next one. The
	// streams end within a second by themselves.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Held: 150_000}
	}
	if plan, found := Prompt(testProfile, engines, &longCall); found || plan.Wait == 0 {
		t.Errorf("plan %+v (%t), want it to wait", plan, found)
	}
}

func TestLongStreamsGatherWhileTheirPartsAreShort(t *testing.T) {
	// One engine writes a long stream. While each further one takes an engine of its own,
	// seven to nine of fourteen engines write one stream each and read nothing, and one
	// long prompt in five is refused.
	engines := testEngines(16)
	engines[5].Load = loadshare.Load{Streams: 1, Held: 50_000}
	long := longCall
	long.Prompt = 60_000
	plan, found := Prompt(testProfile, engines, &long)
	if !found || plan.Lead != 5 || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want the stream on engine 5", plan, found)
	}
}

func TestTightStreamsOfLongPromptsLiveBesideShortOnes(t *testing.T) {
	// A stream that may pause for 600 ms is written for a second. On an engine of its
	// own it keeps that engine from long reading; beside short streams it costs nothing,
	// as long as the others read most of its prompt.
	engines := testEngines(16)
	for i := range 2 {
		engines[i].Load = loadshare.Load{Streams: 6, Tight: 6}
	}
	plan, found := Prompt(testProfile, engines, &tightLong)
	if !found || plan.Lead > 2 || plan.Part > shortReading(testProfile) || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want a short part at one of the first engines", plan, found)
	}
}

func TestTightStreamsWaitForShortParts(t *testing.T) {
	// All engines but those of the short streams read long prompts for a third of a
	// second and write what they read before. A tight stream on one of them pauses for
	// too long. It waits, but not for longer than half of its objective.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 2, Leading: 1, Reading: 300 * time.Millisecond}
		if i < 2 {
			engines[i].Load = loadshare.Load{Streams: 6, Tight: 6}
		}
	}
	call := tightLong
	if plan, found := Prompt(testProfile, engines, &call); found || plan.Wait != leastWait {
		t.Errorf("plan %+v (%t), want it to wait for engines that read little", plan, found)
	}
	call.Waited = call.Objective
	if plan, found := Prompt(testProfile, engines, &call); found || plan.Wait == leastWait {
		t.Errorf("plan %+v (%t) when its objective has passed", plan, found)
	}
}

func TestLateStreamsDoNotBarTheirEngines(t *testing.T) {
	// Every engine has streams that are late whatever happens. Kept free for them, the
	// engines stand idle while long prompts are refused.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 4, Late: 4}
	}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want several engines to read at once", plan, found)
	}
}

func TestPartsWaitForNoBusyEngine(t *testing.T) {
	// A tight stream's prompt is read in four short parts. One of the engines still reads
	// for a second: the first event waits for it, and the other engines count as helping
	// and stand idle meanwhile.
	engines := testEngines(8)
	for i := range engines {
		if i < 5 {
			engines[i].Load.Reading = time.Second
		}
	}
	plan, found := Prompt(testProfile, engines, &tightLong)
	if found {
		for _, i := range plan.Helpers {
			if engines[i].Load.Reading > tightPart(testProfile) {
				t.Errorf("engine %d reads for a second before its part of %s", i, plan.Part)
			}
		}
	}
	if !found && plan.Wait == 0 {
		t.Error("it was refused")
	}
}

func TestStuckStreamsDoNotBarTheirEngines(t *testing.T) {
	// The mix has turned from short to long prompts. Every engine still has a tight
	// stream or two. If that kept them from reading, one engine would read each long
	// prompt alone, for four seconds and more, and its streams would not move on.
	engines := testEngines(14)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Tight: 1}
	}
	if plan, found := Prompt(testProfile, engines, &longCall); !found && plan.Wait == 0 {
		t.Fatal("the long prompt was refused")
	}
	long := longCall
	long.Waited = long.Objective / 2
	plan, found := Prompt(testProfile, engines, &long)
	if !found {
		t.Fatal("the long prompt waits on, although its time gets short")
	}
	if len(plan.Helpers) == 0 || plan.FirstEvent > long.Objective-long.Waited {
		t.Errorf("%d engines help, and the first event comes after %s", len(plan.Helpers), plan.FirstEvent)
	}
}

func TestFullEnginesTakeNoMoreMemory(t *testing.T) {
	// When an engine runs out of memory it throws out its newest stream, which is
	// then read again from the start while its caller waits.
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
	// Engines read the newest part first. Two long prompts come one after the other,
	// and the second one is put on the engines of the first one, which then has its
	// first event late although it came first. With more to come, the oldest callers
	// never get an answer.
	engines := testEngines(18)
	first, found := Prompt(testProfile, engines, &longCall)
	if !found {
		t.Fatal("the first prompt was refused")
	}
	put(engines, &first, &longCall)
	second, found := Prompt(testProfile, engines, &longCall)
	if found {
		for _, i := range append([]int{second.Lead}, second.Helpers...) {
			if engines[i].Load.Reading > freeReading(testProfile) {
				t.Errorf("engine %d gets a part while it has %s to read", i, engines[i].Load.Reading)
			}
		}
	} else if second.Wait == 0 || second.Wait > first.Part {
		t.Errorf("the second prompt waits for %s, the engines are free in %s", second.Wait, first.Part)
	}
}

func TestLongPromptsWaitForManyTightStreams(t *testing.T) {
	// The mix turns: every engine writes four short streams, and a long prompt comes.
	// Read beside them, it lets all of them pause for a second or two, and their callers
	// give up in the middle. They end within two seconds by themselves.
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

func TestEnginesThatHaveReadTheirPartsAreFree(t *testing.T) {
	// Twelve engines have read their parts of a prompt whose first event waits for a
	// slow one. A long prompt that waits for that event too is late, while they idle.
	engines := testEngines(13)
	for i := range 12 {
		engines[i].Load.Helping = 1
	}
	engines[12].Load = loadshare.Load{Streams: 1, Leading: 1, Reading: 2 * time.Second}
	if plan, found := Prompt(testProfile, engines, &longCall); !found || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want it read at once by engines that idle", plan, found)
	}
}

func TestLongPromptsAreReadUpToTheirObjective(t *testing.T) {
	// Engines are free so late that the first event of a long prompt comes within the
	// last tenth of its objective. Predictions are right within a few hundredths of it:
	// refused, the caller comes back when its answer can only be late.
	engines := testEngines(1)
	prompt := longCall
	prompt.Objective = Reading(testProfile, prompt.Prompt) + 2*passOf(testProfile, 1)
	prompt.Objective += prompt.Objective / 14
	if plan, found := Prompt(testProfile, engines, &prompt); !found {
		t.Errorf("refused with a first event after %s of %s", plan.FirstEvent, prompt.Objective)
	}
	prompt.Objective -= prompt.Objective / 8
	if plan, found := Prompt(testProfile, engines, &prompt); found {
		t.Errorf("taken with a first event after %s of %s", plan.FirstEvent, prompt.Objective)
	}
}

// Guards against refusing a prompt whose engine failed it late, while other engines idle.
func TestPromptsThatFailedLateGoToFreeEngines(t *testing.T) {
	engines := testEngines(17)
	failed := longCall
	failed.Waited, failed.Left = failed.Objective, 11*time.Second
	plan, found := Prompt(testProfile, engines, &failed)
	if !found || plan.FirstEvent > failed.Left/2 {
		t.Errorf("plan %+v (%t), want it read at once", plan, found)
	}
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Leading: 1, Reading: 500 * time.Millisecond}
	}
	if plan, found := Prompt(testProfile, engines, &failed); found || plan.Wait > 0 {
		t.Errorf("plan %+v (%t), want a refusal while no engine is free", plan, found)
	}
}

func TestOverdueCallsDontWait(t *testing.T) {
	// A caller was refused and comes back when it is late already. If its prompt
	// waited again it would go behind all that can be in time, until its caller leaves.
	engines := testEngines(17)
	overdue := longCall
	overdue.Age, overdue.Waited = 3*time.Second, 3*time.Second
	if plan, found := Prompt(testProfile, engines, &overdue); !found {
		t.Errorf("plan %+v: refused although all engines are idle", plan)
	}
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 1, Leading: 1, Reading: 500 * time.Millisecond}
	}
	if plan, found := Prompt(testProfile, engines, &overdue); found || plan.Wait > 0 {
		t.Errorf("plan %+v (%t), want a refusal", plan, found)
	}
}

func TestStreamsOfLongPromptsAreLeftAlone(t *testing.T) {
	// A long prompt is read, and its stream is under way at one engine. If that one
	// goes on to read the parts of others, the stream stands still for more than a
	// second again and again.
	engines := testEngines(18)
	engines[3].Load = loadshare.Load{Streams: 1}
	engines[4].Load = loadshare.Load{Streams: 1}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || slices.Contains(plan.Helpers, 3) || slices.Contains(plan.Helpers, 4) {
		t.Errorf("engines %v help engine %d (%t), 3 and 4 write streams", plan.Helpers, plan.Lead, found)
	}
}

func TestEnginesThatLeadAPromptHelpNobody(t *testing.T) {
	// An engine reads its part of a prompt that it answers itself. What it helps with it
	// reads first, so that with one part after the other its own caller never gets an
	// answer. And one that helps as many as it can turns the whole call away.
	engines := testEngines(18)
	engines[0].Load = loadshare.Load{Streams: 1, Tight: 1} // where such streams gather
	engines[5].Load.Leading = 1
	engines[6].Load.Helping = testProfile.Slots
	for range 20 {
		plan, found := Prompt(testProfile, engines, &tightLong)
		if !found && plan.Wait > 0 {
			for i := range engines {
				engines[i].Load.Reading = 0 // all parts are read meanwhile
			}
			plan, found = Prompt(testProfile, engines, &tightLong)
		}
		if !found || slices.Contains(plan.Helpers, 5) || slices.Contains(plan.Helpers, 6) {
			t.Fatalf("engines %v help engine %d (%t), 5 leads a prompt, 6 helps many", plan.Helpers, plan.Lead, found)
		}
		for _, i := range plan.Helpers {
			engines[i].Load.Reading += plan.Part // the next plan looks further
		}
	}
}

func TestShortStreamsLeaveAFifthOfTheEngines(t *testing.T) {
	// Many short streams run in a calm minute. Spread over all engines they are in time,
	// until a long prompt comes and finds none to be read at.
	engines := testEngines(20)
	random := rand.New(rand.NewPCG(1, 2))
	for range 140 {
		call := shortCall
		call.Draw = [2]float64{random.Float64(), random.Float64()}
		plan, found := Prompt(testProfile, engines, &call)
		if !found {
			t.Fatal("a short prompt was refused")
		}
		put(engines, &plan, &call)
		engines[plan.Lead].Load.Reading, engines[plan.Lead].Load.Leading = 0, 0
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

func TestPartsBesideShortStreamsAreNotFelt(t *testing.T) {
	// Every engine has some short streams, which pause for 250 ms at most. Two parts in
	// one pass are enough to make them late, and so is one that is read by few engines.
	engines := testEngines(17)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 6, Tight: 6}
	}
	long := longCall
	long.Prompt = 100_000
	first, found := Prompt(testProfile, engines, &long)
	if !found {
		t.Fatalf("plan %+v: all engines together read it between two events of each", first)
	}
	pass := passOf(testProfile, 7)
	if part := Reading(testProfile, long.Prompt) / time.Duration(1+len(first.Helpers)); part+pass > testProfile.LeastPause {
		t.Errorf("%d engines read parts of %s, and a pass takes %s", 1+len(first.Helpers), part, pass)
	}
	put(engines, &first, &long)
	part := Reading(testProfile, long.Prompt) / time.Duration(1+len(first.Helpers))
	pass = passOf(testProfile, 6)
	for _, passed := range []time.Duration{part / 2, part, part + pass - freeReading(testProfile) - time.Millisecond} {
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
	// The mix has turned: each engine writes short streams, and most read a part of
	// another prompt just now. Read by the few that are free, the next prompt makes
	// their streams pause for a second; a moment later all are free and none feels it.
	// When the time for the prompt gets short it is read all the same.
	engines := testEngines(16)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 4, Tight: 4}
		if i >= 3 {
			engines[i].Load.Reading = 150 * time.Millisecond
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
		t.Errorf("plan %+v (%t), want it to be read by all", plan, found)
	}
	long.Waited = long.Objective / 2
	if plan, found = Prompt(testProfile, engines, &long); !found || plan.FirstEvent > long.Objective/2 {
		t.Errorf("plan %+v (%t), with half of its time left it waits on", plan, found)
	}
}

func TestHopelessCallsAreRefusedAtOnce(t *testing.T) {
	// All engines have more to read than the caller will wait for. Held back, it
	// would learn nothing until its deadline.
	engines := testEngines(3)
	for i := range engines {
		engines[i].Load = loadshare.Load{Streams: 3, Reading: 30 * time.Second}
	}
	if plan, found := Prompt(testProfile, engines, &longCall); found {
		t.Errorf("planned: %+v", plan)
	}
}

func TestServiceCallsPassOverFailedInstances(t *testing.T) {
	tests := []struct {
		name    string
		engines []Engine
		want    int
	}{
		{"the least busy", []Engine{{Load: loadshare.Load{Streams: 3}, Near: true}, {Load: loadshare.Load{Streams: 1}}}, 1},
		{"the near one of equals", []Engine{{}, {Near: true}}, 1},
		{"not one that failed of late", []Engine{{Avoid: true, Near: true}, {Load: loadshare.Load{Streams: 6}}}, 1},
		{"not the one that had it", []Engine{{Tried: true, Near: true}, {Avoid: true}}, 1},
		{"the only one", []Engine{{Tried: true, Avoid: true}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, found := Service(test.engines, 0.5); !found || got != test.want {
				t.Errorf("chose %d (%t), want %d", got, found, test.want)
			}
		})
	}
	if _, found := Service(nil, 0.5); found {
		t.Error("chose one of none")
	}
}

func TestPlansAreSound(t *testing.T) {
	// Whatever the loads are, an engine must not be named twice, helpers must not be
	// more than engines take, and all parts together must make up the prompt.
	rapid.Check(t, func(t *rapid.T) {
		engines := testEngines(rapid.IntRange(0, 24).Draw(t, "engines"))
		for i := range engines {
			engines[i].Load = loadshare.Load{
				Streams: rapid.IntRange(0, 20).Draw(t, "streams"),
				Reading: time.Duration(rapid.IntRange(0, 3000).Draw(t, "reading")) * time.Millisecond,
				Held:    rapid.IntRange(0, 405_000).Draw(t, "held"),
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
		if len(plan.Helpers) > mostHelpers {
			t.Fatalf("%d helpers", len(plan.Helpers))
		}
		whole := Reading(testProfile, call.Prompt)
		if sum := plan.Part * time.Duration(len(seen)); sum < whole-time.Duration(len(seen)) || sum > whole {
			t.Fatalf("%d parts of %s make up %s of %s", len(seen), plan.Part, sum, whole)
		}
	})
}

// BenchmarkPrompt measures one placement.
func BenchmarkPrompt(b *testing.B) {
	for _, n := range []int{14, 78, 600} {
		engines := testEngines(n)
		for i := range engines {
			engines[i].Load = loadshare.Load{Streams: i % 14, Tight: i % 3, Reading: time.Duration(i%7) * 30 * time.Millisecond}
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
