package fairshare

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"celeryport/admission"
	"celeryport/quota"
)

const (
	// servedWindow is the time constant of the served rate, the same as that of the demand in
	// admission.Account, so that the two are comparable.
	servedWindow = 4 * time.Second
	// statedFor is how long after its last call an organisation is stated to the control group.
	statedFor = 5 * time.Second
	// retainedFor is how long after its last call the usage of an organisation is kept here.
	retainedFor = time.Minute
	// maxStated bounds the organisations that one instance states by name: with about 100 bytes each
	// way, 8 of them once a second are 1.6 KB/s of the 5 KB/s that an instance may use for control.
	maxStated = 8
	// maxWatched bounds the organisations that an arbiter states besides: 64 names are 2 KB, and the
	// totals of those that are limited come back. An organisation beyond them counts as within its
	// share; one that floods the arbiter is always among the latest.
	maxWatched = 64
)

// entry is the state of one organisation at one instance.
type entry struct {
	account   *admission.Account
	refused   admission.Rate // calls
	served    admission.Rate
	calledAt  time.Time // last call at this instance
	watchedAt time.Time // last call at another instance that this one decides on
	grant     quota.Grant
	until     time.Time // end of the validity of the grant
}

// Ledger holds the demand and the served engine time of the organisations whose calls one instance
// has seen recently, and the totals of the fleet in the last grants. It is not safe for concurrent
// use.
type Ledger struct {
	entries map[string]*entry
	sweptAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*entry{}} }

// Watch states an organisation to the control group from now on although it has no call here, so
// that its totals are granted. The arbiter needs those of the prompts that wait.
func (l *Ledger) Watch(now time.Time, organisation string, weight float64) {
	l.at(now, organisation, weight).watchedAt = now
}

// Offered counts an incoming call.
func (l *Ledger) Offered(now time.Time, organisation string, weight float64, cost time.Duration) {
	e := l.at(now, organisation, weight)
	e.calledAt = now
	e.account.CountOffered(now, int(cost.Microseconds()))
}

// Served counts a call that was placed.
func (l *Ledger) Served(now time.Time, organisation string, cost time.Duration) {
	e := l.entries[organisation]
	if e == nil {
		return // forgotten since the call arrived
	}
	e.account.Usage.Add(now, float64(cost.Microseconds()))
	e.served.Add(now, float64(cost.Microseconds()))
}

// Refused counts a call that was refused because of the share of its organisation.
func (l *Ledger) Refused(now time.Time, organisation string) {
	if e := l.entries[organisation]; e != nil {
		e.refused.Add(now, 1)
	}
}

// at returns the entry of an organisation. A weight that is not set counts as 1.
func (l *Ledger) at(now time.Time, organisation string, set float64) *entry {
	l.sweep(now)
	e := l.entries[organisation]
	if e == nil {
		e = &entry{account: admission.NewAccount(organisation), served: admission.Rate{Window: servedWindow}, refused: admission.Rate{Window: servedWindow}}
		l.entries[organisation] = e
	}
	e.account.Weight = weight(set)
	return e
}

// sweep removes the organisations that have not been seen for long.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for name, e := range l.entries {
		if now.Sub(e.calledAt) > retainedFor && now.Sub(e.watchedAt) > retainedFor {
			delete(l.entries, name)
		}
	}
}

// Demands returns what this instance states to the control group: of the organisations that it has
// seen in the last seconds those with the greatest demand, and the latest of those that it watches.
func (l *Ledger) Demands(now time.Time) []quota.Demand {
	var called, watched []*entry
	for _, e := range l.entries {
		switch {
		case now.Sub(e.calledAt) <= statedFor:
			called = append(called, e)
		case now.Sub(e.watchedAt) <= statedFor:
			watched = append(watched, e)
		}
	}
	slices.SortFunc(called, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.account.OfferedPerSecond(now), a.account.OfferedPerSecond(now)), strings.Compare(a.account.Name, b.account.Name))
	})
	var demands []quota.Demand
	if len(called) > maxStated {
		demands = append(demands, restOf(now, called[maxStated:]))
		called = called[:maxStated]
	}
	slices.SortFunc(watched, func(a, b *entry) int {
		return cmp.Or(b.watchedAt.Compare(a.watchedAt), strings.Compare(a.account.Name, b.account.Name))
	})
	for _, e := range slices.Concat(called, watched[:min(len(watched), maxWatched)]) {
		d := e.account.Demand(now)
		d.ServedPerSecond = e.served.PerSecond(now)
		d.RefusedPerSecond = e.refused.PerSecond(now)
		demands = append(demands, rounded(d))
	}
	return demands
}

// Rest is the name under which an instance states the sum of the organisations that it does not
// state by name. Without it, the totals would lack most of the calls of small organisations, and
// the shares of the large ones would seem greater than they are.
const Rest = "*"

// restOf returns the sum of the demands of some organisations.
func restOf(now time.Time, entries []*entry) quota.Demand {
	rest := quota.Demand{Organisation: Rest}
	for _, e := range entries {
		rest.TokensPerSecond += e.account.OfferedPerSecond(now)
		rest.ServedPerSecond += e.served.PerSecond(now)
	}
	return rounded(rest)
}

// refusedPrecision is the number of steps in which a refused call per second is stated.
const refusedPrecision = 10

// rounded drops fractions of a microsecond, which are most of the digits of an encoded demand.
func rounded(d quota.Demand) quota.Demand {
	d.RefusedPerSecond = math.Round(d.RefusedPerSecond*refusedPrecision) / refusedPrecision
	d.TokensPerSecond, d.ServedPerSecond, d.Usage = math.Round(d.TokensPerSecond), math.Round(d.ServedPerSecond), math.Round(d.Usage)
	return d
}

// Apply applies the grants that have just arrived. Those that are implausible or come from a build
// without shares count as absent; the former ones then expire.
func (l *Ledger) Apply(now time.Time, grants []quota.Grant) {
	for _, g := range grants {
		e := l.entries[g.Organisation]
		if e == nil || !credible(&g) {
			continue
		}
		e.account.Granted(now, g)
		e.grant, e.until = g, now.Add(min(g.Lease, quota.DefaultLease))
	}
}

// credible reports whether a grant has totals that can be used.
func credible(g *quota.Grant) bool {
	return g.Lease > 0 && plausible(g.FleetServed, maxRate) && plausible(g.FleetDemand, maxRate) &&
		plausible(g.FleetUsage, maxUsage) && g.FleetShare > 0 && plausible(g.FleetShare, maxRate)
}

// Standing returns the position of an organisation in the fleet.
func (l *Ledger) Standing(now time.Time, organisation string) Standing {
	e := l.entries[organisation]
	if e == nil || now.After(e.until) {
		return Standing{}
	}
	return Standing{
		Known:  true,
		Demand: e.grant.FleetDemand,
		Served: e.grant.FleetServed,
		Share:  e.grant.FleetShare,
		Usage:  e.account.Share(now),
	}
}
