package evacuation

import (
	"slices"
	"testing"
)

// Guards against a repeated order that counts as a change and is distributed to the whole
// fleet again, and against orders that leave the list in another state than the last one.
func TestLastOrderDecidesAndRepeatsChangeNothing(t *testing.T) {
	type order struct {
		zone      string
		evacuated bool
	}
	orders := []order{
		{"b", true}, {"b", true}, {"a", true}, {"c", false}, {"b", false}, {"b", false}, {"c", true}, {"c", false}, {"c", true},
	}
	var l *List
	state := map[string]bool{}
	for n, o := range orders {
		before := l
		l = l.With(uint64(n+1), o.zone, o.evacuated)
		changed := state[o.zone] != o.evacuated
		state[o.zone] = o.evacuated
		if (VersionOf(l) != VersionOf(before)) != changed {
			t.Errorf("order %d: version %d after %d, changed %v", n, VersionOf(l), VersionOf(before), changed)
		}
		for zone, evacuated := range state {
			if l.Covers(zone) != evacuated {
				t.Errorf("order %d: zone %s evacuated %v, want %v", n, zone, l.Covers(zone), evacuated)
			}
		}
	}
	if !slices.Equal(l.Zones, []string{"a", "c"}) {
		t.Errorf("zones %v", l.Zones)
	}
}
