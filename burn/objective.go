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
	Served     Kind = "served"      // requests get an answer
	InTime     Kind = "in time"     // admitted requests are answered before their deadline
	FirstToken Kind = "first token" // short prompts get their first token within a bound
	Slowdown   Kind = "slowdown"    // short prompts are not slowed down beyond a bound
)

var kinds = []Kind{Served, InTime, FirstToken, Slowdown}

// objective is one kind of objective with the goal of one class.
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

// count is how many requests an objective is about, and how many missed it.
type count struct {
	total uint64
	bad   uint64
}

func (c count) plus(other count) count {
	return count{total: c.total + other.total, bad: c.bad + other.bad}
}

// badFraction is 0 without any request.
func (c count) badFraction() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.bad) / float64(c.total)
}

// of counts one series for the objective.
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

// counts reports whether a counter of the ledger is part of what the objective
// is about, and whether it misses it. A late answer is counted as served too.
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
