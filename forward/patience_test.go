package forward

import (
	"testing"
	"time"

	"celeryport/settings"
)

// Engines that are three times as slow begin an answer behind a whole other one after
// four seconds and more. Taken for hung after a fixed time, sound engines are reported as
// failing, and their calls run again elsewhere, when the fleet is fullest.
func TestSlowEnginesAreNotTakenForHung(t *testing.T) {
	usual := settings.EngineProfile{Slots: 16, Stride: 34, Step: 1310 * time.Microsecond, UsualAnswer: 1300}
	slow := usual
	slow.Step *= 3
	for _, p := range []*settings.EngineProfile{&usual, &slow} {
		x := &exchange{service: &settings.ForwardedService{Engine: p}}
		answer := time.Duration(p.UsualAnswer) * p.Step
		if got := x.overdue(); got < answer*3/2 || got > 3*answer {
			t.Errorf("an answer is overdue after %s, a usual one takes %s", got, answer)
		}
	}
}
