package drain

import (
	"testing"
	"time"
)

var testStart = time.Unix(1000, 0)

func TestCallsAreDecidedByWhatTheyNeed(t *testing.T) {
	known := func(c Call) Call { c.Known = true; return c }
	tests := []struct {
		name  string
		call  Call
		left  time.Duration
		fits  bool
		basis Basis
	}{
		{"recent calls were short", known(Call{Recent: Maxima{Took: time.Second, Excess: time.Second}, Left: time.Minute}), 2 * time.Second, true, Recent},
		{"recent calls were long", known(Call{Recent: Maxima{Took: 3 * time.Second, Excess: 3 * time.Second}, Left: time.Minute}), 3 * time.Second, false, Recent},
		{"longer than predicted", known(Call{Predicted: 2 * time.Second, Recent: Maxima{Took: 2 * time.Second, Predicted: time.Second, Excess: time.Second}, Left: time.Minute}), 3 * time.Second, false, Recent},
		{"shorter than predicted", known(Call{Predicted: time.Second, Recent: Maxima{Took: time.Second, Predicted: 2 * time.Second}, Left: time.Minute}), 2 * time.Second, true, Recent},
		{"predicted no longer than recent calls", known(Call{Predicted: 2 * time.Second, Recent: Maxima{Took: 2 * time.Second, Predicted: 2 * time.Second, Excess: 2 * time.Second}, Left: time.Minute}), 3 * time.Second, true, Recent},
		{"half answered", known(Call{Recent: Maxima{Took: 3 * time.Second, Excess: 3 * time.Second}, Answered: 2 * time.Second, Left: time.Minute}), 2 * time.Second, true, Recent},
		{"nothing known", Call{Left: time.Minute}, 5 * time.Second, false, Deadline},
		{"nothing known, short deadline", Call{Left: time.Second}, 2 * time.Second, true, Deadline},
		{"prediction alone", Call{Predicted: time.Second, Left: time.Minute}, 5 * time.Second, false, Deadline},
		{"recent calls were long, short deadline", known(Call{Recent: Maxima{Took: 9 * time.Second, Excess: 9 * time.Second}, Left: time.Second}), 2 * time.Second, true, Deadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := Decide(test.call, 10*time.Second, 10*time.Second+test.left)
			if d.Fits() != test.fits || d.Basis != test.basis || d.Left != test.left || d.At != 10*time.Second {
				t.Errorf("decision %+v", d)
			}
		})
	}
}

func TestLongestRecentCallCounts(t *testing.T) {
	key, other := Key{"a", "s"}, Key{"b", "s"}
	d, now := NewDurations(), testStart
	check := func(want time.Duration, wantKnown bool) {
		t.Helper()
		if got, known := d.Recent(now, key); got.Excess != want || known != wantKnown {
			t.Errorf("after %s: %s, %t", now.Sub(testStart), got, known)
		}
	}
	d.Record(now, other, time.Hour, 0)
	check(0, false)
	d.Record(now, key, 5*time.Second, 0)
	d.Record(now, key, 2*time.Second, 0)
	check(5*time.Second, true)
	now = now.Add(window)
	d.Record(now, key, 4*time.Second, 3*time.Second)
	check(5*time.Second, true)
	now = now.Add(window)
	d.Record(now, key, time.Second, 3*time.Second)
	check(time.Second, true)
	now = now.Add(maxIdle)
	check(0, false)
	d.Record(now, other, time.Second, 0)
	if len(d.recent) != 1 {
		t.Errorf("%d keys are kept", len(d.recent))
	}
}
