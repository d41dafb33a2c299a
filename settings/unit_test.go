package settings

import (
	"strings"
	"testing"
)

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

// Guards against processes that do not start because their deployment states no limit, and against
// a limit too small to run with that is found out by the end of the process only.
func TestMemoryLimit(t *testing.T) {
	const head = "[process]\nname = a\navailability_zone = z\nserves = control\n[control]\naddress = 127.0.0.1:1\n" +
		"[voters]\na = 127.0.0.1:1\n[keys]\ninstance = sixteen-characters\n[limits]\n"
	for line, want := range map[string]int64{
		"": 0, "memory = 0MB": 0, "memory = 184MB": 184 * mega, "memory = 183.5MB": 183_500 * kilo, "memory = 48MB": 48 * mega, "memory = 64000GB": 64000 * giga,
	} {
		if p, err := ParseProcess("process.ini", []byte(head+line)); err != nil || p.MemoryLimit != want {
			t.Errorf("%q: %+v, %v, want %d", line, p, err, want)
		}
	}
	for _, line := range []string{"memory = 184", "memory = MB", "memory = 47MB", "memory = -1MB", "memory = NaNMB", "memory = 64001GB"} {
		if _, err := ParseProcess("process.ini", []byte(head+line)); err == nil || !strings.Contains(err.Error(), "memory") {
			t.Errorf("%q: %v", line, err)
		}
	}
}
