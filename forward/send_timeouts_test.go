package forward

import (
	"testing"
	"time"

	"celeryport/settings"
)

// Engines that are three times as slow as usual begin an answer only after four seconds or more
// when a whole other answer precedes it. With a fixed time limit, working engines would count as
// hung and their calls would run again elsewhere just when the fleet is fullest.
func TestSlowEnginesAreNotTakenForHung(t *testing.T) {
	usual := settings.EngineProfile{Slots: 16, Stride: 34, Step: 1310 * time.Microsecond, MeanAnswer: 1300}
	slow := usual
	slow.Step *= 3
	for _, p := range []*settings.EngineProfile{&usual, &slow} {
		x := &exchange{service: &settings.ForwardedService{Engine: p}}
		answer := time.Duration(p.MeanAnswer) * p.Step
		if got := x.hangTimeout(); got < answer*3/2 || got > 3*answer {
			t.Errorf("an upstream counts as hung after %s, a usual answer takes %s", got, answer)
		}
	}
}
