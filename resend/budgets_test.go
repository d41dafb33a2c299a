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
		b := NewBudgets(budget, func() int { return instances })
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
	b := NewBudgets(budget, func() int { return instances })
	for b.TakeRepeat(now, "shop") {
	}
	if b.TakeRepeat(now.Add(budget.Window/2), "shop") {
		t.Error("the share is available again before the end of the window")
	}
	if !b.TakeRepeat(now.Add(budget.Window+time.Millisecond), "shop") {
		t.Error("the share is not available again after the window")
	}
}

// Guards against callers of sound instances that are refused at upstreams that name a rate because a
// part of the rate stays with an instance that hands its calls over, and against a repeat budget that
// counts such calls twice.
func TestHandedOverCallsCountWhereTheyAreSent(t *testing.T) {
	budget := Budget{Ratio: 0.2, Window: 10 * time.Second}
	cut, handler := NewBudgets(budget, func() int { return 2 }), NewBudgets(budget, func() int { return 2 })
	now := time.Unix(1000, 0)
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
