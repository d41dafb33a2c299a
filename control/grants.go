package control

import (
	"slices"
	"time"

	"celeryport/quota"
	"celeryport/settings"
)

// allocateInterval is how often the limits are divided anew. Dividing at each
// answer would cost instances times instances.
const allocateInterval = 250 * time.Millisecond

// allocation divides the fleet's limits between the instances on the leader. It
// is pure and belongs to one leader.
type allocation struct {
	lease      time.Duration // of a grant, the leader's margin included
	statements map[string]*statement
	grants     map[string][]quota.Grant
	at         time.Time
	number     uint64 // of the last round
}

// statement is the last word of one instance and what it may act on.
type statement struct {
	demand []quota.Demand
	at     time.Time
	handed []handed // that it may act on or still receive, oldest first
}

// handed are the grants of one answer.
type handed struct {
	number uint64 // round of the division
	grants []quota.Grant
	at     time.Time
}

// drop forgets answers that the instance will not act on any more.
func (s *statement) drop(gone func(handed) bool) { s.handed = slices.DeleteFunc(s.handed, gone) }

// outstanding returns all that the instance may act on besides what it stated.
func (s *statement) outstanding() []quota.Grant {
	var all []quota.Grant
	for _, h := range s.handed {
		all = append(all, h.grants...)
	}
	return all
}

func newAllocation(lease time.Duration) *allocation {
	return &allocation{lease: lease, statements: map[string]*statement{}}
}

// state takes an instance's demand. seen is the round whose grants it acts on;
// it never goes back to an earlier one, but answers of later rounds may still be
// on their way to it. If they were forgotten, the same part would be given twice.
func (a *allocation) state(now time.Time, instance string, demand []quota.Demand, seen uint64) {
	s := a.statements[instance]
	if s == nil {
		s = &statement{}
		a.statements[instance] = s
	}
	s.demand, s.at = demand, now
	s.drop(func(h handed) bool { return h.number <= seen })
}

// hand returns the grants of an instance and the round that they belong to.
func (a *allocation) hand(now time.Time, instance string, tree *settings.Tree) ([]quota.Grant, uint64) {
	if now.Sub(a.at) >= allocateInterval {
		a.divide(now, tree)
	}
	s := a.statements[instance]
	if s == nil {
		return nil, a.number
	}
	grants := a.grants[instance]
	s.handed = append(s.handed, handed{number: a.number, grants: grants, at: now})
	return grants, a.number
}

// divide allocates the limits to the instances that spoke within a lease.
func (a *allocation) divide(now time.Time, tree *settings.Tree) {
	a.expire(now)
	statements := make([]quota.Statement, 0, len(a.statements))
	for name, s := range a.statements {
		statements = append(statements, quota.Statement{Instance: name, Demands: s.demand, Outstanding: s.outstanding()})
	}
	a.grants = map[string][]quota.Grant{}
	for _, g := range quota.Allocate(limitsOf(tree), statements) {
		a.grants[g.Instance] = g.Grants
	}
	a.at = now
	a.number++
}

func (a *allocation) expire(now time.Time) {
	for name, s := range a.statements {
		s.drop(func(h handed) bool { return now.Sub(h.at) > a.lease })
		if now.Sub(s.at) > a.lease && len(s.handed) == 0 {
			delete(a.statements, name)
		}
	}
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

// grants returns an instance's grants. A new leader waits one whole lease
// first: until then instances may act on parts that its predecessor granted and
// that it has not heard of.
func (l *leader) grants(now time.Time, instance string) ([]quota.Grant, uint64) {
	if !l.table.Settled(now) {
		return nil, 0
	}
	return l.allocation.hand(now, instance, l.core.installed.tree)
}
