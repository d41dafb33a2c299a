package resend

import (
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
// only its share: a ratio of its own calls plus an equal part of the slack.
//
// Without the limit, a service that begins to fail would receive all its calls twice just when
// it is least able to handle them.
type Budgets struct {
	budget    Budget
	instances func() int
	mu        sync.Mutex
	services  map[string]*serviceBudget
}

// serviceBudget holds the times of the calls and repeats within the window.
type serviceBudget struct {
	calls      []time.Time // of own callers
	repeats    []time.Time
	handled    []time.Time // calls handled for other instances; they count in the budgets of those
	handedOver []time.Time // of the calls, those that other instances handled
}

const (
	// ratioFraction and slackFraction leave room for instances that briefly disagree on the
	// number of instances, and for calls that leave the window earlier at the upstreams than
	// here.
	ratioFraction = 0.8
	slackFraction = 0.7
)

// NewBudgets returns the budgets of one instance. instances returns how many share them.
func NewBudgets(budget Budget, instances func() int) *Budgets {
	return &Budgets{budget: budget, instances: instances, services: map[string]*serviceBudget{}}
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
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	if !s.allows(b.budget.Ratio, share) {
		return false
	}
	s.repeats = append(s.repeats, now)
	return true
}

// AllowsRepeat reports whether a repeat could be sent now, without counting one.
func (b *Budgets) AllowsRepeat(now time.Time, service string) bool {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(now, service).allows(b.budget.Ratio, share)
}

// Usage is what an instance counts in the window of a service.
type Usage struct {
	Calls   int // of own callers
	Repeats int
}

// Usage returns what this instance has counted for a service.
func (b *Budgets) Usage(now time.Time, service string) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window(now, service)
	return Usage{Calls: len(s.calls), Repeats: len(s.repeats)}
}

// share returns this instance's part of the slack.
func (b *Budgets) share() float64 { return b.budget.Slack * slackFraction / float64(b.instances()) }

// allows reports whether one more repeat is within the budget.
func (s *serviceBudget) allows(ratio, share float64) bool {
	return float64(len(s.repeats)+1) <= ratio*ratioFraction*float64(len(s.calls))+share
}

// window returns the record of a service, with entries before the current window removed.
func (b *Budgets) window(now time.Time, service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{}
		b.services[service] = s
	}
	begin := now.Add(-b.budget.Window)
	s.calls = dropBefore(s.calls, begin)
	s.repeats = dropBefore(s.repeats, begin)
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
