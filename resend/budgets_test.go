package resend

import (
	"testing"
	"time"
)

func TestRepeatsStayWithinTheShare(t *testing.T) {
	// A service begins to fail all its calls. If every instance repeated each of them, the
	// service would get twice its load when it is least able to handle it; all instances
	// together may send a fifth more plus a fixed number.
	const instances, calls = 8, 50
	budget := Budget{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}
	now := time.Unix(1_700_000_000, 0)
	repeats := 0
	for range instances {
		b := newRunningBudgets(now, budget, instances)
		for range calls {
			now = now.Add(time.Millisecond)
			b.RecordCall(now, "shop")
			for b.TakeRepeat(now, "shop") {
				repeats++
			}
		}
	}
	if most := budget.Ratio*instances*calls + budget.Slack; float64(repeats) > most || float64(repeats) < most/2 {
		t.Errorf("%d repeats of %d calls, at most %.0f are allowed", repeats, instances*calls, most)
	}
}

// newRunningBudgets returns the budgets of an instance that has run for long enough to have earned as
// much slack as it may save.
func newRunningBudgets(now time.Time, budget Budget, instances int) *Budgets {
	b := NewBudgets(now.Add(-time.Hour), budget, func() Fleet { return Fleet{Instances: instances, Complete: true} })
	b.Observe(now)
	return b
}

// Guards against a share that is available again before the repeats that used it up leave the window,
// and against one that never is.
func TestSlackIsNotSpentTwiceInAWindow(t *testing.T) {
	const instances = 8
	budget := Budget{Slack: 104, Window: 10 * time.Second}
	now := time.Unix(1_700_000_000, 0)
	b := newRunningBudgets(now, budget, instances)
	var repeats []time.Time
	for end := now.Add(6 * budget.Window); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for b.TakeRepeat(now, "shop") {
			repeats = append(repeats, now)
		}
	}
	for i, begin := range repeats {
		count := 0
		for _, at := range repeats[i:] {
			if at.Before(begin.Add(budget.Window)) {
				count++
			}
		}
		if count > int(budget.Slack)/instances {
			t.Fatalf("%d repeats in the window from %s", count, begin)
		}
	}
	if last := repeats[len(repeats)-1]; last.Before(now.Add(-budget.Window)) {
		t.Errorf("no repeat after %s", last)
	}
}

// Guards against callers of sound instances that are refused at upstreams that name a rate because a
// part of the rate stays with an instance that hands its calls over, and against a repeat budget that
// counts such calls twice.
func TestHandedOverCallsCountWhereTheyAreSent(t *testing.T) {
	budget := Budget{Ratio: 0.2, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	cut, handler := newRunningBudgets(now, budget, 2), newRunningBudgets(now, budget, 2)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		cut.RecordCall(now, "model")
		cut.RecordHandedOver(now, "model")
		handler.RecordHandled(now, "model")
	}
	if cut.CallRate(now, "model") != 0 || handler.CallRate(now, "model") != 5 {
		t.Errorf("%g and %g calls per second", cut.CallRate(now, "model"), handler.CallRate(now, "model"))
	}
	repeats := 0
	for cut.TakeRepeat(now, "model") || handler.TakeRepeat(now, "model") {
		repeats++
	}
	if repeats != 8 {
		t.Errorf("%d repeats for 50 calls", repeats)
	}
}
