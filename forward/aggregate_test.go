package forward

import (
	"fmt"
	"net/netip"
	"testing"

	"celeryport/membership"
	"celeryport/settings"
)

func TestZoneAlwaysHasOneAggregator(t *testing.T) {
	// One instance of a zone reports the zone's loads to the other zones. If it dies and is not
	// replaced, the other zones place long prompts on engines that are full; if two instances
	// report, their reports overwrite each other.
	var instances []membership.Instance
	recent := map[netip.AddrPort]bool{}
	address := func(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7340", n+1)) }
	for n := range 8 {
		instances = append(instances, membership.Instance{
			Name: fmt.Sprint("front-", n), Address: "a", AvailabilityZone: fmt.Sprint("z", n%2), ControlAddress: address(n).String(),
		})
		recent[address(n)] = true
	}
	instances = append(instances, membership.Instance{Name: "core", AvailabilityZone: "z0", ControlAddress: "10.0.0.99:7340"})
	aggregators := func() map[string]int {
		found := map[string]int{}
		for n := range 8 {
			if one := instances[n]; recent[address(n)] {
				found[aggregatorOf(instances, one.Name, one.AvailabilityZone, recent)]++
			}
		}
		return found
	}
	first := aggregators()
	if len(first) != 2 {
		t.Fatalf("aggregators of two zones: %v", first)
	}
	for n := range 8 {
		if first[instances[n].Name] > 0 {
			delete(recent, address(n)) // it died and control has not noticed yet
		}
	}
	second := aggregators()
	if len(second) != 2 {
		t.Fatalf("aggregators after the first ones died: %v", second)
	}
	for name := range second {
		if first[name] > 0 {
			t.Errorf("the dead instance %s is chosen as aggregator", name)
		}
	}
}

func TestDeadInstancesAreNotChosenAsRelays(t *testing.T) {
	// If control knows that an instance is gone, it must not be chosen as a relay: the report
	// would be lost for its whole zone.
	instances := []membership.Instance{
		{Name: "gone", Address: "a", State: membership.Gone, AvailabilityZone: "z1", ControlAddress: "10.0.0.1:7340"},
		{Name: "live", Address: "a", AvailabilityZone: "z1", ControlAddress: "10.0.0.2:7340"},
	}
	for sequence := range uint32(4) {
		_, relays := recipients(instances, &settings.Process{Name: "front", AvailabilityZone: "z0"}, sequence)
		if len(relays) != 1 || relays[0].String() != "10.0.0.2:7340" {
			t.Fatalf("relays: %v, want only the live instance", relays)
		}
	}
}
