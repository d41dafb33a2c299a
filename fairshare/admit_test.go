package fairshare

import (
	"testing"
	"time"

	"celeryport/placement"
	"celeryport/settings"
)

var (
	start = time.Unix(1_700_000_000, 0)
	key   = FloorKey{Organisation: "a", Route: "chat"}
	above = Standing{Known: true, Demand: 20e6, Served: 5e6, Share: 1e6}
)

// Guards against refusing calls because of a share while engines are idle, within twice the share,
// or by totals that are unknown.
func TestNoRefusalWithoutShortageOrExcess(t *testing.T) {
	cases := map[string]struct {
		standing Standing
		free     bool
		refused  bool
	}{
		"above twice its share":             {above, false, true},
		"a slot is free":                    {above, true, false},
		"demands less than twice its share": {Standing{Known: true, Demand: 1.9e6, Served: 1.9e6, Share: 1e6}, false, false},
		"gets less than its share":          {Standing{Known: true, Demand: 20e6, Served: 0.9e6, Share: 1e6}, false, false},
		"unknown totals":                    {Standing{Demand: 20e6, Served: 5e6, Share: 1e6}, false, false},
	}
	for name, c := range cases {
		v := Admit(start, c.standing, c.free, NewFloor(), key, 0)
		if v.Refused != c.refused {
			t.Errorf("%s: refused is %t", name, v.Refused)
		}
		if v.Refused && (v.Excess <= 0 || v.Excess > servedWindow) {
			t.Errorf("%s: Retry-After is based on %s", name, v.Excess)
		}
	}
}

// Guards against an organisation that gets nothing at all on one of its routes, and against a floor
// that admits most calls because each instance sees only few of them.
func TestEveryRouteKeepsATwentiethOfItsCalls(t *testing.T) {
	for _, perInstance := range []int{3, 400} {
		admitted, total := 0, 0
		for instance := range 200 {
			floor := NewFloor()
			for range perInstance {
				total++
				if !Admit(start, above, false, floor, key, float64(instance)/200).Refused {
					admitted++
				}
			}
		}
		if fraction := float64(admitted) / float64(total); fraction < 0.045 || fraction > 0.055 {
			t.Errorf("%d calls at each instance: %.3f are admitted, want a twentieth", perInstance, fraction)
		}
	}
}

// Guards against credit that a busy route earns and a quiet route of the same organisation loses.
func TestRoutesHaveFloorsOfTheirOwn(t *testing.T) {
	floor, quiet := NewFloor(), FloorKey{Organisation: "a", Route: "quiet"}
	admitted := 0
	for n := range 2000 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		floor.Take(now, key, 0)
		if n%100 == 0 && floor.Take(now, quiet, 0) {
			admitted++
		}
	}
	if admitted != 1 {
		t.Errorf("%d of 20 calls of the quiet route are assured, want 1", admitted)
	}
}

// BenchmarkAdmit measures the decision on a short prompt while all 600 engines are full.
func BenchmarkAdmit(b *testing.B) {
	profile := &settings.EngineProfile{Slots: 12}
	engines := make([]placement.Engine, 600)
	for i := range engines {
		engines[i].Load.Streams = profile.Slots
	}
	floor := NewFloor()
	b.ReportAllocs()
	for b.Loop() {
		Admit(start, above, placement.HasFreeSlot(profile, engines), floor, key, 0)
	}
}

// Guards against assured calls that are added to those admitted while a slot is free: of a flood they
// would fill the slots that are kept for the others.
func TestAdmittedCallsCountTowardsTheFloor(t *testing.T) {
	floor, assured := NewFloor(), 0
	for n := range 2000 {
		slotFree := n%10 == 0
		if !Admit(start, above, slotFree, floor, key, 0).Refused && !slotFree {
			assured++
		}
	}
	if assured > 0 {
		t.Errorf("%d calls are assured although a tenth is admitted", assured)
	}
	refusedInARow := 0
	for Admit(start, above, false, floor, key, 0).Refused {
		refusedInARow++
	}
	if refusedInARow > 40 {
		t.Errorf("%d calls in a row are refused", refusedInARow)
	}
}
