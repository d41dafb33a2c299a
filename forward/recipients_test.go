package forward

import (
	"fmt"
	"net/netip"
	"testing"

	"celeryport/membership"
	"celeryport/settings"
)

func TestReportsReachAllInstancesOfAllZones(t *testing.T) {
	// Load reports are sent to one instance of each other zone, which relays them. An instance
	// that gets no reports would place calls on engines that are full, and if the relay was
	// always the same instance, its death would cut its zone off from all reports.
	var instances []membership.Instance
	for i := range 24 {
		instances = append(instances, membership.Instance{
			Name: fmt.Sprint("front-", i), Address: "a", AvailabilityZone: fmt.Sprint("z", i%4),
			ControlAddress: fmt.Sprintf("10.0.0.%d:7340", i+1),
		})
	}
	instances = append(instances, membership.Instance{Name: "core", AvailabilityZone: "z0", ControlAddress: "10.0.0.99:7340"})
	zoneOf := map[netip.AddrPort]string{}
	for _, i := range instances {
		zoneOf[netip.MustParseAddrPort(i.ControlAddress)] = i.AvailabilityZone
	}
	for _, sender := range instances[:24] {
		self := &settings.Process{Name: sender.Name, AvailabilityZone: sender.AvailabilityZone}
		used := map[netip.AddrPort]int{}
		for sequence := range uint32(6) {
			peers, relays := recipients(instances, self, sequence)
			if len(peers) != 5 || len(relays) != 3 {
				t.Fatalf("%d of the own zone and %d others get a report, want 5 and 3", len(peers), len(relays))
			}
			zones := map[string]bool{self.AvailabilityZone: true}
			for _, relay := range relays {
				zones[zoneOf[relay]] = true
				used[relay]++
			}
			if len(zones) != 4 {
				t.Fatalf("the zones %v get a report", zones)
			}
		}
		for relay, times := range used {
			if times > 1 {
				t.Fatalf("%s relays %d of 6 reports of %s", relay, times, sender.Name)
			}
		}
	}
}
