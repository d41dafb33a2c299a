package fairshare

import (
	"slices"
	"strings"
	"time"

	"celeryport/quota"
)

// Pool holds the demands of the instances attached to one voter. The voter states their sum to the
// leader as its own, so that the work of the leader does not grow with instances times
// organisations. A Pool is not safe for concurrent use.
type Pool struct {
	statements map[string]pooled
}

// pooled is the last statement of one attached instance.
type pooled struct {
	demands []quota.Demand
	at      time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{statements: map[string]pooled{}} }

// Record replaces what an instance demands. Without demands its former ones are kept until they
// expire, because an instance does not repeat them with every sync.
func (p *Pool) Record(now time.Time, instance string, demands []quota.Demand) {
	if len(demands) == 0 {
		return
	}
	p.statements[instance] = pooled{demands: slices.DeleteFunc(slices.Clone(demands), implausible), at: now}
}

// implausible reports whether a demand holds a number that no correct instance states. It then
// counts as absent.
func implausible(d quota.Demand) bool {
	return d.Organisation == "" || !plausible(d.TokensPerSecond, maxRate) || !plausible(d.ServedPerSecond, maxRate) ||
		!plausible(d.RefusedPerSecond, maxRate) || !plausible(d.Usage, maxUsage)
}

// Sum returns the demands of the instances that have stated them within the lease of a grant,
// together with those of the voter itself, by organisation. An instance that froze or left has no
// part in it any more.
func (p *Pool) Sum(now time.Time, own []quota.Demand) []quota.Demand {
	for name, s := range p.statements {
		if now.Sub(s.at) > quota.DefaultLease {
			delete(p.statements, name)
		}
	}
	if len(p.statements) == 0 {
		return own
	}
	sums := map[string]*quota.Demand{}
	for _, d := range own {
		sums[d.Organisation] = &d
	}
	for _, s := range p.statements {
		for _, d := range s.demands {
			sum := sums[d.Organisation]
			if sum == nil {
				sum = &quota.Demand{Organisation: d.Organisation}
				sums[d.Organisation] = sum
			}
			sum.TokensPerSecond += d.TokensPerSecond
			sum.ServedPerSecond += d.ServedPerSecond
			sum.RefusedPerSecond += d.RefusedPerSecond
			sum.Usage += d.Usage
		}
	}
	total := make([]quota.Demand, 0, len(sums))
	for _, d := range sums {
		total = append(total, *d)
	}
	slices.SortFunc(total, func(a, b quota.Demand) int { return strings.Compare(a.Organisation, b.Organisation) })
	return total
}

// Select returns the totals of the organisations that an instance has stated lately, from the grants
// of the voter. Of those without a demand of their own only the limited ones matter. The parts of
// limits in the grants belong to the voter and are left out.
func (p *Pool) Select(now time.Time, instance string, grants []quota.Grant) []quota.Grant {
	s, found := p.statements[instance]
	if !found || now.Sub(s.at) > quota.DefaultLease {
		return nil
	}
	var selected []quota.Grant
	for i := range grants {
		g := &grants[i]
		wanted := func(d quota.Demand) bool {
			return d.Organisation == g.Organisation && g.Organisation != Rest && (d.TokensPerSecond > 0 || limited(g))
		}
		if g.FleetShare > 0 && slices.ContainsFunc(s.demands, wanted) {
			selected = append(selected, quota.Grant{
				Organisation: g.Organisation, Lease: g.Lease,
				FleetDemand: g.FleetDemand, FleetUsage: g.FleetUsage, FleetServed: g.FleetServed, FleetShare: g.FleetShare,
			})
		}
	}
	return selected
}

func limited(g *quota.Grant) bool {
	return Standing{Known: true, Demand: g.FleetDemand, Share: g.FleetShare}.Limited()
}
