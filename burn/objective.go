package burn

import (
	"fmt"
	"time"

	"celeryport/ledger"
	"celeryport/settings"
)

// Kind is one kind of objective.
type Kind string

// The objectives of a class.
const (
	Served     Kind = "served"      // requests are answered
	InTime     Kind = "in time"     // admitted requests are answered before their deadline
	FirstToken Kind = "first token" // the first token of short prompts arrives within a bound
	Slowdown   Kind = "slowdown"    // short prompts are not slowed down beyond a bound
)

var kinds = []Kind{Served, InTime, FirstToken, Slowdown}

// objective is one objective of one class with its goal.
type objective struct {
	kind   Kind
	class  string
	goal   float64
	bound  string
	period time.Duration
}

// objectivesOf returns the objectives of a class.
func objectivesOf(c *settings.Class) []objective {
	o := c.Objectives
	goals := map[Kind]float64{Served: o.ServedGoal, InTime: o.InTimeGoal, FirstToken: o.FirstTokenGoal, Slowdown: o.FirstTokenGoal}
	bounds := map[Kind]string{
		InTime:     c.Deadline.String(),
		FirstToken: o.FirstToken.String(),
		Slowdown:   fmt.Sprintf("%g times", o.SlowdownBound),
	}
	all := make([]objective, 0, len(kinds))
	for _, kind := range kinds {
		all = append(all, objective{kind: kind, class: c.Name, goal: goals[kind], bound: bounds[kind], period: o.Window})
	}
	return all
}

// count holds the number of requests that an objective covers and of those that
// missed it.
type count struct {
	total uint64
	bad   uint64
}

func (c count) plus(other count) count {
	return count{total: c.total + other.total, bad: c.bad + other.bad}
}

// badFraction returns the fraction of requests that missed the objective, 0 if there
// were no requests.
func (c count) badFraction() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.bad) / float64(c.total)
}

// countSeries counts the requests of one series for the objective.
func (o *objective) countSeries(c *ledger.Counters) count {
	var sum count
	for i, f := range c.Fields {
		isTotal, isBad := o.kind.counts(f)
		if isTotal {
			sum.total += c.Values[i]
		}
		if isBad {
			sum.bad += c.Values[i]
		}
	}
	return sum
}

// counts reports whether the requests of a ledger counter are covered by the
// objective, and whether they missed it. KindLate is not part of the total, because
// late answers are also counted under KindServed.
func (k Kind) counts(f ledger.Field) (isTotal, isBad bool) {
	switch f.Kind() {
	case ledger.KindServed:
		return k == Served || k == InTime, false
	case ledger.KindLate:
		return false, k == InTime
	case ledger.KindRefused:
		missed := k == Served && !isCallerFault(f.Reason())
		return missed, missed
	case ledger.KindFailed:
		missed := (k == Served || k == InTime) && !isCallerFault(f.Reason())
		return missed, missed
	case ledger.KindFirstTokenMet:
		return k == FirstToken, false
	case ledger.KindFirstTokenMissed:
		return k == FirstToken, k == FirstToken
	case ledger.KindSlowdownMet:
		return k == Slowdown, false
	case ledger.KindSlowdownMissed:
		return k == Slowdown, k == Slowdown
	}
	return false, false
}
