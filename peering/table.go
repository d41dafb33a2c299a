// Package peering lists the instances with which one instance exchanges datagrams. It is pure.
package peering

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryport/membership"
)

// Candidates is how many instances of an availability zone may aggregate its loads. The others
// need not show that they are alive, so that this does not cost a zone the square of its size.
// With half of a zone killed at once, one zone in thirty has no candidate left until control has
// noticed.
const Candidates = 5

// Table is derived from a list of all instances. It is immutable.
type Table struct {
	peers      []netip.AddrPort   // other instances of the own availability zone
	zones      [][]netip.AddrPort // instances of each other zone, in an order that all agree on
	candidates []netip.AddrPort   // instances of the own zone that may aggregate it, the first choice first
	rank       int                // position of this instance in candidates, -1 if it is none
	offset     uint64             // differs between instances, so that they choose different relays
}

// New returns the table of the instance with the given name in a zone. It leaves out instances
// without a traffic address and those that are gone.
func New(instances []membership.Instance, name, zone string) *Table {
	t := &Table{rank: -1, offset: xxhash.Sum64String(name)}
	byZone := map[string][]netip.AddrPort{}
	var ranked []ranking
	for i := range instances {
		one := &instances[i]
		if one.Address == "" || one.State == membership.Gone {
			continue
		}
		address, err := netip.ParseAddrPort(one.ControlAddress)
		if one.AvailabilityZone == zone && (err == nil || one.Name == name) {
			ranked = append(ranked, ranking{one.Name, address, xxhash.Sum64String(one.Name)})
		}
		if err == nil && one.Name != name {
			byZone[one.AvailabilityZone] = append(byZone[one.AvailabilityZone], address)
		}
	}
	t.peers = byZone[zone]
	delete(byZone, zone)
	for _, other := range slices.Sorted(maps.Keys(byZone)) {
		t.zones = append(t.zones, byZone[other])
	}
	t.rankCandidates(ranked, name)
	return t
}

// ranking is an instance with the weight that decides how early it is a candidate.
type ranking struct {
	name    string
	address netip.AddrPort
	weight  uint64
}

func (t *Table) rankCandidates(ranked []ranking, self string) {
	slices.SortFunc(ranked, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	for i := range ranked[:min(Candidates, len(ranked))] {
		t.candidates = append(t.candidates, ranked[i].address)
		if ranked[i].name == self {
			t.rank = i
		}
	}
}

// Peers returns the other instances of the own availability zone. The caller must not change
// the result.
func (t *Table) Peers() []netip.AddrPort { return t.peers }

// Zones returns the number of other availability zones with instances.
func (t *Table) Zones() int { return len(t.zones) }

// Relays returns one instance of each other availability zone, which relays a report to its
// zone. It changes with the sequence number of the report, so that the loss of an instance costs
// its zone only one report in as many as it has instances.
func (t *Table) Relays(sequence uint32) []netip.AddrPort {
	relays := make([]netip.AddrPort, len(t.zones))
	for i, zone := range t.zones {
		relays[i] = zone[(uint64(sequence)+t.offset)%uint64(len(zone))]
	}
	return relays
}

// Candidate reports whether this instance may aggregate its zone and therefore has to show the
// others that it is alive.
func (t *Table) Candidate() bool { return t.rank >= 0 }

// Aggregates reports whether this instance is the one that aggregates its zone: no candidate
// before it is alive. When the aggregator dies, the next candidate notices the missing reports
// before control does.
func (t *Table) Aggregates(alive func(netip.AddrPort) bool) bool {
	return t.rank >= 0 && !slices.ContainsFunc(t.candidates[:t.rank], alive)
}
