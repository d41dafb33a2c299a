package placement

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// Guards against parts on an engine that is likely to terminate while enough others are free, and
// against a rejection or a long wait because such engines are left out.
func TestFrailEnginesHelpOnlyIfTooFewOthersAreLeft(t *testing.T) {
	engines := testEngines(16)
	for i := range 6 {
		engines[i].Frail = true
	}
	plan, found := Prompt(testProfile, engines, &longCall)
	if !found || len(plan.Helpers) == 0 || slices.ContainsFunc(plan.Helpers, func(i int) bool { return engines[i].Frail }) {
		t.Errorf("engines %v help (%t), engines 0 to 5 are frail", plan.Helpers, found)
	}
	huge := longCall // needs the memory of three engines
	huge.Prompt, huge.Objective, huge.Remaining = 900_000, time.Minute, 2*time.Minute
	few := testEngines(3)
	few[2].Frail = true
	if plan, found := Prompt(testProfile, few, &huge); !found || len(plan.Helpers) != 2 {
		t.Errorf("engines %v help (%t), want the frail one too", plan.Helpers, found)
	}
	for i := range engines {
		if !engines[i].Frail {
			engines[i].Load.PrefillTime = 200 * time.Millisecond
		}
	}
	waiting := longCall
	if plan, found := Prompt(testProfile, engines, &waiting); found || plan.Wait == 0 {
		t.Errorf("plan %+v (%t), want it to wait for the stable engines", plan, found)
	}
	waiting.Waited = waiting.Objective / 2
	if plan, found := Prompt(testProfile, engines, &waiting); !found || len(plan.Helpers) == 0 {
		t.Errorf("plan %+v (%t), want the frail engines to prefill it while it can be in time", plan, found)
	}
}

// Guards against splitting a prompt over many engines while engines terminate so often that one of
// them probably terminates before the first event.
func TestFewerEnginesWhileManyTerminate(t *testing.T) {
	call := longCall
	calm, _ := Prompt(testProfile, testEngines(17), &call)
	call.EndRate = 0.5
	plan, found := Prompt(testProfile, testEngines(17), &call)
	if !found || len(plan.Helpers) >= len(calm.Helpers) || plan.FirstEvent > call.Objective {
		t.Errorf("%d helpers (%t), %d without terminations", len(plan.Helpers), found, len(calm.Helpers))
	}
}

// Guards against changed plans where no termination is known: with a rate of 0 the loss is exactly
// 0, and without frail engines, or with frail ones only, every plan is that of planPrompt.
func TestPlansAreUnchangedWithoutTerminations(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for at := range 3000 {
		engines, call := randomEngines(random), randomCall(random)
		want, wantFound := planPrompt(testProfile, engines, usableEngines(engines), &call)
		for _, call.EndRate = range []float64{-1, math.NaN(), 0} { // invalid or unknown
			if loss := endLoss(testProfile, engines, &Plan{Part: time.Hour}, &call, 1e9); loss != 0 {
				t.Fatalf("a loss of %v at a rate of %v", loss, call.EndRate)
			}
		}
		for _, frail := range []bool{false, true} {
			for i := range engines {
				engines[i].Frail = frail
			}
			plan, found := Prompt(testProfile, engines, &call)
			plan.Seen = want.Seen
			if found != wantFound || !reflect.DeepEqual(plan, want) {
				t.Fatalf("case %d, frail %t: %+v (%t), want %+v (%t)", at, frail, plan, found, want, wantFound)
			}
		}
	}
}

// BenchmarkFrail measures the planning of a long prompt on 600 engines, of which some are frail,
// while terminations are frequent.
func BenchmarkFrail(b *testing.B) {
	engines, call := testEngines(600), longCall
	for i := range engines {
		engines[i].Frail = i%4 == 0
	}
	call.EndRate = 0.01
	for b.Loop() {
		Prompt(testProfile, engines, &call)
	}
}
