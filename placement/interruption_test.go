package placement

import (
	"testing"
	"time"

	"celeryport/settings"
)

// deepProfile is an engine whose passes beside a very long prompt take seconds.
var deepProfile = &settings.EngineProfile{
	Slots: 12, MemoryTokens: 382_500, Stride: 52, Step: 925 * time.Microsecond, StepPerSequence: 4830 * time.Nanosecond,
	PrefillRate: 256_000, PairsPerM: 91_700 * time.Nanosecond, Chunk: 2048, MeanPrompt: 17_000, MeanAnswer: 1_600,
	MinPauseLimit: 200 * time.Millisecond, MinPatience: 2 * time.Second,
}

// crowdedEngines returns 26 engines of which all but free run short streams.
func crowdedEngines(free, streams int) []Engine {
	engines := testEngines(26)
	for i := free; i < len(engines); i++ {
		engines[i].Load.Streams, engines[i].Load.Tight, engines[i].Load.Held = streams, streams, streams*6_000
	}
	return engines
}

// Guards against a long prompt that silences the streams beside it for longer than their callers
// wait: four engines prefilled 514,000 tokens for 3.5 s each, and all of their callers left.
func TestLongPromptDoesNotOutlastThePatienceOfCallers(t *testing.T) {
	call := Call{Prompt: 514_439, Answer: 840, Objective: 8 * time.Second, LongPause: 800 * time.Millisecond, Remaining: 13 * time.Second}
	for waited := time.Duration(0); waited < call.Objective; waited += 250 * time.Millisecond {
		call.Waited = waited
		engines := crowdedEngines(3, 3)
		plan, found := Prompt(deepProfile, engines, &call)
		if !found {
			continue
		}
		for _, i := range append([]int{plan.Lead}, plan.Helpers...) {
			if engines[i].Load.Tight > 0 && passWithPart(deepProfile, call.Prompt, plan.Part, 1+len(plan.Helpers)) > deepProfile.MinPatience {
				t.Fatalf("after %s: engine %d runs %d streams and prefills a part of %s", waited, i, engines[i].Load.Tight, plan.Part)
			}
		}
	}
}

// Guards against late streams that are starved until their deadline: they are in time no more,
// but their callers still wait for the complete answer.
func TestLongPassesSpareLateStreams(t *testing.T) {
	engines := crowdedEngines(0, 3)[:5]
	for i := range engines {
		engines[i].Load.Tight, engines[i].Load.Late = 0, 3
	}
	call := Call{Prompt: 514_439, Answer: 840, Objective: 8 * time.Second, LongPause: 800 * time.Millisecond, Remaining: 13 * time.Second}
	if plan, found := Prompt(deepProfile, engines, &call); found {
		t.Errorf("engines with late streams have passes of %s", passWithPart(deepProfile, call.Prompt, plan.Part, 1+len(plan.Helpers)))
	}
}

func TestPassWithPartFollowsFromTheEngine(t *testing.T) {
	prefill := PrefillTime(deepProfile, 445_000)
	if pass := passWithPart(deepProfile, 445_000, prefill, 1); pass < 1500*time.Millisecond || pass > 3*time.Second {
		t.Errorf("a pass beside a prompt of 445,000 tokens takes %s", pass)
	}
	if pass := passWithPart(deepProfile, 45_000, PrefillTime(deepProfile, 45_000)/17, 17); pass > 20*time.Millisecond {
		t.Errorf("a pass beside a seventeenth of a prompt of 45,000 tokens takes %s", pass)
	}
}

// BenchmarkLongPromptAmong600Engines measures the plan of a long prompt at the size that the
// design has to carry.
func BenchmarkLongPromptAmong600Engines(b *testing.B) {
	engines := testEngines(600)
	for i := range engines {
		engines[i].Load.Streams, engines[i].Load.Tight = i%4, i%4
	}
	call := Call{Prompt: 300_000, Answer: 840, Objective: 8 * time.Second, LongPause: 800 * time.Millisecond, Remaining: 13 * time.Second, Waited: time.Second}
	for b.Loop() {
		Prompt(deepProfile, engines, &call)
	}
}
