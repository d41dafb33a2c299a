package resend

import (
	"slices"
	"sync"
	"time"
)

// Budget limits the sends beyond the first of each call, over all instances together.
type Budget struct {
	Ratio  float64       // repeats per call of a service
	Slack  float64       // repeats beyond the ratio, over all instances
	Window time.Duration // length of the sliding window
}

// Budgets limits, per service, how many sends may follow the first sends of calls. All instances
// together have to stay within the limit without coordinating each repeat, so each instance uses
// only its share: a ratio of its own calls, and an equal part of the slack that it earns over time.
//
// Without the limit, a service that begins to fail would receive all its calls twice just when
// it is least able to handle them.
type Budgets struct {
	budget   Budget
	fleet    func() Fleet
	mu       sync.Mutex
	slack    slackIncome
	services map[string]*serviceBudget
}

// serviceBudget holds the calls of the window and what repeats have been charged to.
type serviceBudget struct {
	calls      []time.Time // of own callers
	charges    []charge    // to the calls
	slack      slackBalance
	handled    []time.Time // calls handled for other instances; they count in the budgets of those
	handedOver []time.Time // of the calls, those that other instances handled
}

// charge is the part of a repeat that is charged to the calls of the window.
type charge struct {
	at     time.Time
	amount float64
}

// ratioFraction leaves room for calls that leave the window earlier at the upstreams than here.
const ratioFraction = 0.8

// Fleet is what an instance knows of those that share the budgets.
type Fleet struct {
	Instances int  // known to share them, also those that lost contact with control a short time ago
	Complete  bool // control has confirmed that these are all
}

// NewBudgets returns the budgets of an instance that starts now. fleet returns which instances share
// them.
func NewBudgets(now time.Time, budget Budget, fleet func() Fleet) *Budgets {
	return &Budgets{budget: budget, fleet: fleet, slack: slackIncome{at: now}, services: map[string]*serviceBudget{}}
}

// Observe accounts for the time since the last call of any method. It is called at least once in a
// fraction of a second, so that the slack follows the number of instances.
func (b *Budgets) Observe(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now)
}

// earn adds the slack earned since the last time. The lock must be held.
func (b *Budgets) earn(now time.Time) {
	fleet := b.fleet()
	if !fleet.Complete {
		b.slack.skip(now)
		return
	}
	b.slack.add(now, b.budget.Window, b.budget.Slack/float64(max(1, fleet.Instances)))
}

// RecordCall records the first send of a call.
func (b *Budgets) RecordCall(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	s.calls = append(s.calls, now)
}

// RecordHandled records a call that this instance handles for another one.
func (b *Budgets) RecordHandled(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	s.handled = append(s.handled, now)
}

// RecordHandedOver records that another instance handled a recorded call.
func (b *Budgets) RecordHandedOver(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	s.handedOver = append(s.handedOver, now)
}

// CallRate returns how many calls per second this instance recently sent to a service's upstreams
// itself. Instances share the rates that upstreams name by it.
func (b *Budgets) CallRate(now time.Time, service string) float64 {
	if b.budget.Window <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	return float64(max(0, len(s.calls)+len(s.handled)-len(s.handedOver))) / b.budget.Window.Seconds()
}

// TakeRepeat reports whether one more repeat may be sent and counts it if so.
func (b *Budgets) TakeRepeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	ofCalls := s.leftOfCalls(b.budget.Ratio)
	if !s.allows(ofCalls) {
		return false
	}
	amount := max(0, min(1, ofCalls))
	s.charges = append(s.charges, charge{now, amount})
	s.slack.amount -= 1 - amount
	return true
}

// AllowsRepeat reports whether a repeat could be sent now, without counting one.
func (b *Budgets) AllowsRepeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	return s.allows(s.leftOfCalls(b.budget.Ratio))
}

// Usage is what an instance counts in the window of a service.
type Usage struct {
	Calls   int // of own callers
	Repeats int
	Slack   float64 // repeats left beyond those that the calls allow
}

// Usage returns what this instance has counted for a service.
func (b *Budgets) Usage(now time.Time, service string) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	return Usage{Calls: len(s.calls), Repeats: len(s.charges), Slack: s.slack.amount}
}

// leftOfCalls returns how many more repeats the calls of the window allow.
func (s *serviceBudget) leftOfCalls(ratio float64) float64 {
	left := ratio * ratioFraction * float64(len(s.calls))
	for i := range s.charges {
		left -= s.charges[i].amount
	}
	return left
}

// allows reports whether one more repeat is within the budget.
func (s *serviceBudget) allows(ofCalls float64) bool {
	return max(0, ofCalls)+s.slack.amount >= 1-tolerance
}

// tolerance is the part of a repeat that may be missing because sums of fractions are not exact.
const tolerance = 1e-9

// window returns the record of a service, with the slack earned until now and without the entries
// before the current window.
func (b *Budgets) window(now time.Time, service string) *serviceBudget {
	b.earn(now)
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{}
		b.services[service] = s
	}
	begin := now.Add(-b.budget.Window)
	s.calls = dropBefore(s.calls, begin)
	s.charges = slices.DeleteFunc(s.charges, func(c charge) bool { return c.at.Before(begin) })
	s.slack.settle(&b.slack)
	s.handled = dropBefore(s.handled, begin)
	s.handedOver = dropBefore(s.handedOver, begin)
	return s
}

// dropBefore removes the times before begin. times is in ascending order.
func dropBefore(times []time.Time, begin time.Time) []time.Time {
	drop := 0
	for drop < len(times) && times[drop].Before(begin) {
		drop++
	}
	return append(times[:0], times[drop:]...)
}
