package forward

import (
	"sync"
	"time"
)

// budgets bound, for each service, how many sends may follow the first sends of
// calls. All instances together have to keep the bound without asking each other
// at every repeat: each uses its own share, which is a part of its own calls and
// an equal part of the slack.
//
// Without the bound a service that begins to fail gets all its calls twice, just
// when it can bear them least.
type budgets struct {
	budget    RepeatBudget
	instances func() int
	mu        sync.Mutex
	services  map[string]*serviceBudget
}

// serviceBudget holds the times of the calls and repeats of one window.
type serviceBudget struct {
	calls   []time.Time
	repeats []time.Time
}

const (
	// ratioUsed and slackUsed leave room for instances that disagree for a moment
	// on how many they are, and for calls that fall out of the window earlier at
	// the upstreams than here.
	ratioUsed = 0.8
	slackUsed = 0.7
)

func newBudgets(budget RepeatBudget, instances func() int) *budgets {
	return &budgets{budget: budget, instances: instances, services: map[string]*serviceBudget{}}
}

// call notes the first send of a call.
func (b *budgets) call(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(now, service)
	s.calls = append(s.calls, now)
}

// arrival returns how many calls a second came for a service of late.
func (b *budgets) arrival(now time.Time, service string) float64 {
	if b.budget.Window <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(len(b.of(now, service).calls)) / b.budget.Window.Seconds()
}

// take asks for one repeat and reports whether it may be sent.
func (b *budgets) take(now time.Time, service string) bool {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(now, service)
	if !s.allows(b.budget.Ratio, share) {
		return false
	}
	s.repeats = append(s.repeats, now)
	return true
}

// open reports whether a repeat could be sent now.
func (b *budgets) open(now time.Time, service string) bool {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(now, service).allows(b.budget.Ratio, share)
}

// share is this instance's part of the slack.
func (b *budgets) share() float64 { return b.budget.Slack * slackUsed / float64(b.instances()) }

// allows reports whether one more repeat is within the budget.
func (s *serviceBudget) allows(ratio, share float64) bool {
	return float64(len(s.repeats)+1) <= ratio*ratioUsed*float64(len(s.calls))+share
}

// of returns the window of a service up to now.
func (b *budgets) of(now time.Time, service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{}
		b.services[service] = s
	}
	begin := now.Add(-b.budget.Window)
	s.calls = since(s.calls, begin)
	s.repeats = since(s.repeats, begin)
	return s
}

// since drops the times before begin; times are in order.
func since(times []time.Time, begin time.Time) []time.Time {
	drop := 0
	for drop < len(times) && times[drop].Before(begin) {
		drop++
	}
	return append(times[:0], times[drop:]...)
}
