package control

import (
	"slices"
	"time"

	"celeryport/fairshare"
	"celeryport/quota"
	"celeryport/settings"
)

// allocateInterval is the time between two allocations of the limits. Allocating for each
// sync would take time quadratic in the number of instances.
const allocateInterval = 250 * time.Millisecond

// allocation divides the organisations' limits between the instances on the leader. It
// does no I/O and belongs to a single leader.
type allocation struct {
	lease      time.Duration // lifetime of a grant, including the leader's margin
	statements map[string]*statement
	grants     map[string][]quota.Grant
	at         time.Time
	number     uint64 // number of the last allocation round
}

// statement is the last demand stated by an instance and the grants that it may be using.
type statement struct {
	demand       []quota.Demand
	at           time.Time
	issuedGrants []issuedGrants // grants that it may be using or may still receive, oldest first
}

// issuedGrants are the grants sent in one response.
type issuedGrants struct {
	number uint64 // allocation round
	grants []quota.Grant
	at     time.Time
}

// prune removes issued grants that the instance will not use any more.
func (s *statement) prune(gone func(issuedGrants) bool) {
	s.issuedGrants = slices.DeleteFunc(s.issuedGrants, gone)
}

// outstanding returns the grants that the instance may use in addition to those that it
// has confirmed.
func (s *statement) outstanding() []quota.Grant {
	var all []quota.Grant
	for _, h := range s.issuedGrants {
		all = append(all, h.grants...)
	}
	return all
}

func newAllocation(lease time.Duration) *allocation {
	return &allocation{lease: lease, statements: map[string]*statement{}}
}

// recordDemand records an instance's demand. seen is the round of the grants in use: the
// instance never returns to an earlier round, but responses of later rounds may still be
// in transit. Pruning those as well would grant the same share twice.
func (a *allocation) recordDemand(now time.Time, instance string, demand []quota.Demand, seen uint64) {
	s := a.statements[instance]
	if s == nil {
		s = &statement{}
		a.statements[instance] = s
	}
	s.demand, s.at = demand, now
	s.prune(func(h issuedGrants) bool { return h.number <= seen })
}

// issue returns the grants of an instance and their allocation round.
func (a *allocation) issue(now time.Time, instance string, tree *settings.Tree) ([]quota.Grant, uint64) {
	if now.Sub(a.at) >= allocateInterval {
		a.reallocate(now, tree)
	}
	s := a.statements[instance]
	if s == nil {
		return nil, a.number
	}
	grants := a.grants[instance]
	s.issuedGrants = append(s.issuedGrants, issuedGrants{number: a.number, grants: grants, at: now})
	return grants, a.number
}

// reallocate divides the limits between the instances that synced within the last lease.
func (a *allocation) reallocate(now time.Time, tree *settings.Tree) {
	a.expire(now)
	statements := make([]quota.Statement, 0, len(a.statements))
	for name, s := range a.statements {
		statements = append(statements, quota.Statement{Instance: name, Demands: s.demand, Outstanding: s.outstanding()})
	}
	a.grants = map[string][]quota.Grant{}
	for _, g := range quota.Allocate(limitsOf(tree), statements) {
		fairshare.Fill(g.Grants, weightsOf(tree))
		a.grants[g.Instance] = g.Grants
	}
	a.at = now
	a.number++
}

func (a *allocation) expire(now time.Time) {
	for name, s := range a.statements {
		s.prune(func(h issuedGrants) bool { return now.Sub(h.at) > a.lease })
		if now.Sub(s.at) > a.lease && len(s.issuedGrants) == 0 {
			delete(a.statements, name)
		}
	}
}

// weightsOf returns the weights of the organisations in the settings.
func weightsOf(tree *settings.Tree) func(organisation string) float64 {
	weights := map[string]float64{}
	if tree != nil {
		for i := range tree.Organisations {
			weights[tree.Organisations[i].Name] = tree.Organisations[i].Weight
		}
	}
	return func(organisation string) float64 { return weights[organisation] }
}

// totals returns the grants of any instance: all have the same totals of the fleet.
func (a *allocation) totals() []quota.Grant {
	for _, grants := range a.grants {
		return grants
	}
	return nil
}

func limitsOf(tree *settings.Tree) []quota.Limit {
	if tree == nil {
		return nil
	}
	limits := make([]quota.Limit, 0, len(tree.Organisations))
	for i := range tree.Organisations {
		o := &tree.Organisations[i]
		limits = append(limits, quota.Limit{
			Organisation: o.Name, TokensPerSecond: o.Limits.TokensPerSecond, InFlight: o.Limits.InFlight,
		})
	}
	return limits
}

// grants returns an instance's grants. A new leader waits for one whole lease first: until
// then instances may use shares granted by the previous leader, which this one does not
// know.
func (l *leader) grants(now time.Time, instance string) ([]quota.Grant, uint64) {
	if !l.table.Settled(now) {
		return nil, 0
	}
	return l.allocation.issue(now, instance, l.core.installed.tree)
}
