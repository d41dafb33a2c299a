package ledger

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celeryport/request"
	"celeryport/settings"
)

// openRequests is one shard of the requests that were received and have not ended.
type openRequests struct {
	mu     sync.Mutex
	series map[string]*trackedSeries // by request id
}

func (o *openRequests) put(id string, s *trackedSeries) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, exists := o.series[id]; exists {
		return false
	}
	o.series[id] = s
	return true
}

func (o *openRequests) take(id string) *trackedSeries {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.series[id]
	delete(o.series, id)
	return s
}

// seriesShard is one shard of the series of an account.
type seriesShard struct {
	mu     sync.Mutex
	series map[Series]*trackedSeries
}

func (c *seriesShard) get(name Series) *trackedSeries {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.series[name]
	if s == nil {
		s = &trackedSeries{name: name}
		c.series[name] = s
	}
	return s
}

func (c *seriesShard) all() []*trackedSeries {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*trackedSeries, 0, len(c.series))
	for _, s := range c.series {
		all = append(all, s)
	}
	return all
}

// trackedSeries holds the counters of one series together with the epoch of the
// last change of each counter.
type trackedSeries struct {
	name Series

	mu       sync.Mutex
	counters Counters
	changed  []uint64 // epoch of the last change of each counter
	epoch    uint64   // of the change in progress
}

// update makes one change under the lock. The epoch has to be read under the lock
// too: a copy first ends the epoch and then acquires the lock, so a change that
// this copy misses is marked with the next epoch and is part of the next copy.
func (t *trackedSeries) update(epoch *atomic.Uint64, change func(*trackedSeries)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch = epoch.Load()
	change(t)
}

func (t *trackedSeries) add(f Field, n uint64) {
	i, isNew := t.counters.Add(f, n)
	if isNew {
		t.changed = slices.Insert(t.changed, i, 0)
	}
	t.changed[i] = t.epoch
}

func (t *trackedSeries) addServed(r *request.Request, s Served, o settings.Objectives) {
	t.add(plainField(KindServed), 1)
	if !s.InTime {
		t.add(plainField(KindLate), 1)
	}
	if r.Kind == request.ServiceCall {
		t.add(binField(KindTotal, LengthUpTo4k, binOf(s.Total)), 1)
		return
	}
	t.addTokens(s)
	length := LengthOf(s.PromptTokens)
	t.add(binField(KindFirstToken, length, binOf(s.FirstToken)), 1)
	if s.AnswerTokens > 1 {
		t.add(binField(KindTokenGap, length, binOf(s.TokenGap)), 1)
	}
	if !r.Long {
		t.addObjectives(s, o)
	}
}

func (t *trackedSeries) addTokens(s Served) {
	t.add(plainField(KindPromptTokens), uint64(max(0, s.PromptTokens)))
	t.add(plainField(KindAnswerTokens), uint64(max(0, s.AnswerTokens)))
	t.add(plainField(KindCachedTokens), uint64(max(0, s.CachedTokens)))
}

// minIdleFirstToken is the lower bound of the idle time to the first token that a
// slowdown is measured against. Below it, network latency, including that of distant
// callers, makes up most of the time, and a cached prompt would count as slowed down on
// an idle fleet.
const minIdleFirstToken = 25 * time.Millisecond

func (t *trackedSeries) addObjectives(s Served, o settings.Objectives) {
	if o.FirstToken > 0 {
		t.addOutcome(s.FirstToken <= o.FirstToken, KindFirstTokenMet, KindFirstTokenMissed)
	}
	if o.SlowdownBound > 0 && s.IdleFirstToken > 0 {
		bound := time.Duration(o.SlowdownBound * float64(max(s.IdleFirstToken, minIdleFirstToken)))
		t.addOutcome(s.FirstToken <= bound, KindSlowdownMet, KindSlowdownMissed)
	}
}

func (t *trackedSeries) addOutcome(met bool, yes, no FieldKind) {
	if met {
		t.add(plainField(yes), 1)
		return
	}
	t.add(plainField(no), 1)
}

// changedSince returns the counters that were changed after an epoch.
func (t *trackedSeries) changedSince(epoch uint64) Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed Counters
	for i, at := range t.changed {
		if at > epoch {
			changed.Fields = append(changed.Fields, t.counters.Fields[i])
			changed.Values = append(changed.Values, t.counters.Values[i])
		}
	}
	return changed
}
