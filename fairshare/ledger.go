package fairshare

import (
	"cmp"
	"slices"
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
	// maxStated bounds the organisations that one instance states: with about 100 bytes each way, 16
	// of them once a second are 3 KB/s of the 5 KB/s that an instance may use for control.
	maxStated = 16
)

// entry is the state of one organisation at one instance.
type entry struct {
	account *admission.Account
	served  admission.Rate
	seenAt  time.Time
	grant   quota.Grant
	until   time.Time // end of the validity of the grant
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
func (l *Ledger) Watch(now time.Time, organisation string) { l.seen(now, organisation) }

// Offered counts an incoming call.
func (l *Ledger) Offered(now time.Time, organisation string, weight float64, cost time.Duration) {
	e := l.seen(now, organisation)
	e.account.Weight = weight
	e.account.CountOffered(now, int(cost.Microseconds()))
}

// Served counts a call that was placed.
func (l *Ledger) Served(now time.Time, organisation string, cost time.Duration) {
	e := l.seen(now, organisation)
	e.account.Usage.Add(now, float64(cost.Microseconds()))
	e.served.Add(now, float64(cost.Microseconds()))
}

func (l *Ledger) seen(now time.Time, organisation string) *entry {
	l.sweep(now)
	e := l.entries[organisation]
	if e == nil {
		e = &entry{account: admission.NewAccount(organisation), served: admission.Rate{Window: servedWindow}}
		l.entries[organisation] = e
	}
	e.seenAt = now
	return e
}

// sweep removes the organisations that have not been seen for long.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for name, e := range l.entries {
		if now.Sub(e.seenAt) > retainedFor {
			delete(l.entries, name)
		}
	}
}

// Demands returns what this instance states to the control group: the organisations that it has
// seen in the last seconds, those with the greatest demand if there are too many.
func (l *Ledger) Demands(now time.Time) []quota.Demand {
	var demands []quota.Demand
	for _, e := range l.entries {
		if now.Sub(e.seenAt) > statedFor {
			continue
		}
		d := e.account.Demand(now)
		d.ServedPerSecond = e.served.PerSecond(now)
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b quota.Demand) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.Organisation, b.Organisation))
	})
	return demands[:min(len(demands), maxStated)]
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
