package peering

import (
	"fmt"
	"net/netip"
	"testing"

	"celeryport/membership"
)

func addressOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n%250 + 1)}), 7340)
}

// testInstances returns instances that accept calls, in zones in rotation, and one that does not.
func testInstances(count, zones int) []membership.Instance {
	var instances []membership.Instance
	for n := range count {
		instances = append(instances, membership.Instance{
			Name: fmt.Sprint("front-", n), Address: "a", AvailabilityZone: fmt.Sprint("z", n%zones), ControlAddress: addressOf(n).String(),
		})
	}
	return append(instances, membership.Instance{Name: "core", AvailabilityZone: "z0", ControlAddress: "10.0.99.99:7340"})
}

func TestReportsReachAllInstancesOfAllZones(t *testing.T) {
	// Load reports are sent to one instance of each other zone, which relays them. An instance
	// that gets no reports would place calls on engines that are full, and if the relay was
	// always the same instance, its death would cut its zone off from all reports.
	instances := testInstances(24, 4)
	zoneOf := map[netip.AddrPort]string{}
	for _, i := range instances {
		zoneOf[netip.MustParseAddrPort(i.ControlAddress)] = i.AvailabilityZone
	}
	for _, sender := range instances[:24] {
		table := New(instances, sender.Name, sender.AvailabilityZone)
		used := map[netip.AddrPort]int{}
		for sequence := range uint32(6) {
			peers, relays := table.Peers(), table.Relays(sequence)
			if len(peers) != 5 || len(relays) != 3 {
				t.Fatalf("%d of the own zone and %d others get a report, want 5 and 3", len(peers), len(relays))
			}
			for _, peer := range peers {
				if zoneOf[peer] != sender.AvailabilityZone || peer.String() == sender.ControlAddress {
					t.Fatalf("%s in %s counts as a peer of %s", peer, zoneOf[peer], sender.Name)
				}
			}
			zones := map[string]bool{sender.AvailabilityZone: true}
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

// aggregators counts for each live instance that considers itself the aggregator of its zone.
func aggregators(instances []membership.Instance, dead map[string]bool) map[string]int {
	alive := map[netip.AddrPort]bool{}
	for _, i := range instances {
		alive[netip.MustParseAddrPort(i.ControlAddress)] = !dead[i.Name]
	}
	found := map[string]int{}
	for _, i := range instances {
		table := New(instances, i.Name, i.AvailabilityZone)
		if i.Address != "" && !dead[i.Name] && table.Aggregates(func(a netip.AddrPort) bool { return alive[a] }) {
			found[i.AvailabilityZone]++
		}
	}
	return found
}

func TestZoneAlwaysHasOneAggregator(t *testing.T) {
	// One instance of a zone reports the zone's loads to the other zones. If it dies and is not
	// replaced, the other zones place long prompts on engines that are full; if two instances
	// report, their reports overwrite each other.
	for _, count := range []int{8, 400} {
		instances := testInstances(count, 2)
		dead := map[string]bool{}
		for round := range min(Candidates, count/2) {
			if found := aggregators(instances, dead); len(found) != 2 || found["z0"] != 1 || found["z1"] != 1 {
				t.Fatalf("%d instances, aggregators after %d deaths in each zone: %v", count, round, found)
			}
			for _, i := range instances {
				table := New(instances, i.Name, i.AvailabilityZone)
				if table.rank == round && i.Address != "" {
					dead[i.Name] = true // control has not noticed yet
				}
			}
		}
	}
}

// Guards against a zone in which all instances have to show that they are alive, which costs the
// square of its size.
func TestFewInstancesAreCandidates(t *testing.T) {
	instances := testInstances(985, 5)
	candidates := map[string]int{}
	for _, i := range instances {
		if New(instances, i.Name, i.AvailabilityZone).Candidate() {
			candidates[i.AvailabilityZone]++
		}
	}
	for zone, count := range candidates {
		if count != Candidates {
			t.Errorf("%d candidates in %s, want %d", count, zone, Candidates)
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
		if relays := New(instances, "front", "z0").Relays(sequence); len(relays) != 1 || relays[0].String() != "10.0.0.2:7340" {
			t.Fatalf("relays: %v, want only the live instance", relays)
		}
	}
}
