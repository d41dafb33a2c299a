package control

import (
	"testing"

	"celeryport/quota"
)

// Guards against attached instances that never learn the totals of their organisations: the voters
// between them and the leader would drop the demands or the grants.
func TestTotalsOfOrganisationsReachAttachedInstances(t *testing.T) {
	t.Parallel()
	f := newAttachingFleet(t, 3, 4)
	f.awaitInstalled(f.apply(0, "a", testTree(1)).Revision)
	attached := f.members[3:]
	state := func() {
		for n, m := range attached {
			demands := []quota.Demand{{Organisation: "everywhere", TokensPerSecond: 100, ServedPerSecond: 50}}
			if n == 0 {
				demands = append(demands, quota.Demand{Organisation: "only-here", TokensPerSecond: 10, ServedPerSecond: 10})
			}
			if err := m.node.SetDemand(t.Context(), demands); err != nil {
				t.Fatal(err)
			}
		}
	}
	var status SharesStatus
	f.await("the totals at every attached instance", func() bool {
		state()
		for n, m := range attached {
			grants := m.node.View().Grants
			want := 1
			if n == 0 {
				want = 2
			}
			if len(grants) != want || grants[0].FleetDemand != 400 || grants[0].FleetServed != 200 || grants[0].FleetShare != 200 || grants[0].InFlight != 0 {
				return false
			}
		}
		return true
	})
	f.await("the totals in the report", func() bool {
		state() // an instance that moves to another voter counts at both until its former statement expires
		f.ask(CommandShares, nil, &status)
		return len(status.Organisations) == 2 && status.Organisations[0] == ShareStatus{
			Organisation: "everywhere", Demand: 400 / engineRate, Served: 200 / engineRate, Share: 200 / engineRate,
		}
	})
}
