package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

// timeScale multiplies all durations of a fleet, of its routes and of its load.
type timeScale int

func (s timeScale) profile(p settings.EngineProfile) *settings.EngineProfile {
	p.Step *= time.Duration(s)
	p.StepPerSequence *= time.Duration(s)
	p.StepPerContext *= time.Duration(s)
	p.PairsPerM *= time.Duration(s)
	p.Hop *= time.Duration(s)
	p.MinPauseLimit *= time.Duration(s)
	p.PrefillRate /= float64(s)
	return &p
}

func (s timeScale) engines(engines []Engine) []Engine {
	stretched := slices.Clone(engines)
	for i := range stretched {
		stretched[i].Load.PrefillTime *= time.Duration(s)
	}
	return stretched
}

func (s timeScale) call(call Call) *Call {
	for _, t := range []*time.Duration{&call.Objective, &call.LongPause, &call.Remaining, &call.Waited, &call.Age, &call.Ahead} {
		*t *= time.Duration(s)
	}
	return &call
}

// The engines of one customer are three times as slow as those of another, and its routes allow
// for it. Limits that are fixed durations suit one of them only: with all durations multiplied
// by three, a fleet with room rejected one short prompt in eleven.
func TestPlansDoNotDependOnTheTimeScale(t *testing.T) {
	base := *testProfile
	base.Step, base.PairsPerM = 1312*time.Microsecond, 164*time.Microsecond // divisible by the scales without remainder
	random := rand.New(rand.NewPCG(1, 2))
	for at := range 3000 {
		engines, call := randomEngines(random), randomCall(random)
		plan, found := Prompt(&base, engines, &call)
		for _, s := range []timeScale{2, 3, 10} {
			other, otherFound := Prompt(s.profile(base), s.engines(engines), s.call(call))
			if found != otherFound || summary(&plan) != summary(&other) {
				t.Fatalf("case %d, scale %d: got %v %s, unscaled %v %s; %+v", at, s, otherFound, summary(&other), found, summary(&plan), call)
			}
		}
	}
}

func summary(p *Plan) string {
	return fmt.Sprint(p.Lead, p.Helpers, p.Reserved != nil, p.Wait > 0, p.Excess > 0)
}

func randomCall(random *rand.Rand) Call {
	call := []Call{shortCall, tightLong, longCall}[random.IntN(3)]
	call.Prompt = 1000 + random.IntN(3*call.Prompt)
	call.Waited = time.Duration(random.IntN(1000)) * call.Objective / 1000
	call.Draw = [2]float64{random.Float64(), random.Float64()}
	return call
}

func randomEngines(random *rand.Rand) []Engine {
	engines := testEngines(2 + random.IntN(30))
	busy := random.IntN(200)
	for i := range engines {
		load := loadshare.Load{Streams: random.IntN(14), Held: random.IntN(testProfile.MemoryTokens), Leading: random.IntN(2)}
		load.Tight = random.IntN(load.Streams + 1)
		load.Late = random.IntN(load.Streams - load.Tight + 1)
		load.PrefillTime = time.Duration(random.IntN(1+busy)) * time.Millisecond * time.Duration(random.IntN(2))
		engines[i].Load = load
	}
	return engines
}
