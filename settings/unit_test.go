package settings

import "testing"

// Guards against instances that do not start because an operator computes the slack of a smaller
// fleet as a share of that of a larger one.
func TestFractionalCounts(t *testing.T) {
	accepts := fractionalCount(maxPool)
	for text, want := range map[string]float64{"100": 100, "4k": 4000, "34.31578947368421": 34.31578947368421, "0": 0} {
		if got, err := accepts.parse(text); err != nil || got != want {
			t.Errorf("%q: %g, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "-1", "NaN", "inf", "1e9", "200k"} {
		if got, err := accepts.parse(text); err == nil {
			t.Errorf("%q was read as %g", text, got)
		}
	}
}
