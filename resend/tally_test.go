package resend

import (
	"testing"
	"time"
)

func after(l Limits, failed ...Cause) Decision {
	var t Tally
	for _, c := range failed {
		t.Record(c)
	}
	return t.Decide(failed[len(failed)-1], l)
}

func repeat(c Cause, n int) []Cause {
	all := make([]Cause, n)
	for i := range all {
		all[i] = c
	}
	return all
}

// Guards against charging sends to ended upstreams to the route or the repeat budget, against
// charging the others to neither, and against calls that look for an upstream without an end.
func TestEachCauseHasItsOwnBound(t *testing.T) {
	ample := Limits{MaxSends: 2, Left: 5 * time.Second}
	for _, test := range []struct {
		name   string
		limits Limits
		failed []Cause
		want   Decision
	}{
		{"first counted send", ample, repeat(Counted, 1), Decision{Repeat: true, Charged: true}},
		{"all counted sends", ample, repeat(Counted, 2), Decision{Charged: true}},
		{"counted after ended ones", ample, append(repeat(Ended, 9), Counted), Decision{Repeat: true, Charged: true}},
		{"ended after a counted one", ample, append(repeat(Counted, 1), Ended), Decision{Repeat: true}},
		{"misdirected sends", ample, repeat(Misdirected, maxMissed-1), Decision{Repeat: true, Charged: true}},
		{"too many misdirected or ended", ample, append(repeat(Ended, maxMissed/2), repeat(Misdirected, maxMissed/2)...), Decision{Charged: true}},
		{"many ended", ample, repeat(Ended, maxMissed-1), Decision{Repeat: true}},
		{"too many ended or withdrawn", ample, append(repeat(Withdrawn, maxMissed/2), repeat(Ended, maxMissed/2)...), Decision{}},
		{"ended, little time left", Limits{MaxSends: 2, Left: minTimeLeft - 1}, repeat(Ended, 1), Decision{}},
		{"lost with the path", Limits{MaxSends: 1, Left: time.Second}, repeat(PathLost, maxPathLost-1), Decision{Repeat: true, Charged: true}},
		{"lost with the path after a counted send", ample, []Cause{Counted, PathLost}, Decision{Repeat: true, Charged: true}},
		{"counted after one lost with the path", ample, []Cause{PathLost, Counted}, Decision{Repeat: true, Charged: true}},
		{"too often lost with the path", ample, repeat(PathLost, maxPathLost), Decision{Charged: true}},
		{"unreachable", ample, repeat(Unreachable, maxUnreachable-1), Decision{Repeat: true}},
		{"too often unreachable", ample, repeat(Unreachable, maxUnreachable), Decision{}},
		{"helper at fault", ample, repeat(HelperAtFault, maxRejections-1), Decision{Repeat: true, Charged: true}},
		{"too often helper at fault", ample, repeat(HelperAtFault, maxRejections), Decision{Charged: true}},
		{"deadline passed", Limits{MaxSends: 2}, repeat(Counted, 1), Decision{Charged: true}},
	} {
		if got := after(test.limits, test.failed...); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	limits := Limits{MaxSends: 2, Left: time.Second}
	for b.Loop() {
		var t Tally
		t.Record(Ended)
		t.Decide(Ended, limits)
	}
}
