package fairshare

import (
	"math"
	"testing"

	"celeryport/quota"
)

// Guards against shares that give an organisation more than it demands, or less than its weight
// entitles it to.
func TestMaxMinDividesByWeightAndDemand(t *testing.T) {
	cases := []struct {
		name  string
		wants []want
		parts []float64
	}{
		{"equal weights", []want{{amount: 90, weight: 1}, {amount: 5, weight: 1}, {amount: 90, weight: 1}}, []float64{42.5, 5, 42.5}},
		{"weights", []want{{amount: 90, weight: 2}, {amount: 90, weight: 1}}, []float64{60, 30}},
		{"spare of the heavy one", []want{{amount: 10, weight: 100}, {amount: 200, weight: 1}}, []float64{10, 80}},
		{"enough for all", []want{{amount: 10, weight: 1}, {amount: 20, weight: 1}}, []float64{10, 20}},
	}
	for _, c := range cases {
		for i, part := range maxMin(90, c.wants) {
			if math.Abs(part-c.parts[i]) > 1e-9 {
				t.Errorf("%s: part %d is %v, want %v", c.name, i, part, c.parts[i])
			}
		}
	}
}

// Guards against one broken statement that changes the shares of all organisations.
func TestImplausibleTotalsCountAsAbsent(t *testing.T) {
	grants := []quota.Grant{
		{Organisation: "a", FleetDemand: 100, FleetServed: 60},
		{Organisation: "b", FleetDemand: 20, FleetServed: 20},
		{Organisation: "negative", FleetDemand: -5, FleetServed: 10},
		{Organisation: "huge", FleetDemand: 1e30, FleetServed: 1e30},
		{Organisation: "nan", FleetDemand: math.NaN(), FleetServed: math.NaN()},
	}
	Fill(grants, func(string) float64 { return 0 })
	for i, share := range []float64{60, 20, 0, 0, 0} {
		if grants[i].FleetShare != share {
			t.Errorf("%s has a share of %v, want %v", grants[i].Organisation, grants[i].FleetShare, share)
		}
	}
}

// Guards against small organisations that lose their part because instances do not state them by
// name: a flooding one would seem to be within its share.
func TestOrganisationsWithoutNamesKeepTheirDemand(t *testing.T) {
	grants := []quota.Grant{
		{Organisation: "flood", FleetDemand: 1000, FleetServed: 70},
		{Organisation: Rest, FleetDemand: 80, FleetServed: 30},
	}
	Fill(grants, func(string) float64 { return 1 })
	if grants[0].FleetShare != 20 || grants[1].FleetShare != 80 {
		t.Errorf("shares %v and %v, want 20 and 80", grants[0].FleetShare, grants[1].FleetShare)
	}
}
