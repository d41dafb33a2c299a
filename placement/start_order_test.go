package placement

import "testing"

func TestLongPromptsOfUnknownLoadsStartApart(t *testing.T) {
	// Guards against instances that know no loads and prefill their long prompts on the same
	// first engines of the common order, while the others are idle.
	for name, call := range map[string]Call{"long": longCall, "split": tightLong} {
		leads, helpers := map[int]bool{}, map[int]bool{}
		for instance := range 13 {
			call.Spread, call.Draw = true, [2]float64{float64(instance) / 13, 0}
			plan, found := Prompt(testProfile, testEngines(26), &call)
			if !found {
				t.Fatalf("%s: a prompt was rejected", name)
			}
			leads[plan.Lead], helpers[plan.Helpers[0]] = true, true
		}
		if len(leads) < 10 || len(helpers) < 10 {
			t.Errorf("%s: 13 instances start their prompts on %d engines, and on %d first helpers", name, len(leads), len(helpers))
		}
	}
}
