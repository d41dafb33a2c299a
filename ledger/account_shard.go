package ledger

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"celeryport/request"
	"celeryport/settings"
)

// openRequests are requests that were received and have not ended.
type openRequests struct {
	mu     sync.Mutex
	series map[string]*trackedSeries // by request id
}

func (o *openRequests) put(id string, s *trackedSeries) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, there := o.series[id]; there {
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

// countedSeries are some of the series of an account.
type countedSeries struct {
	mu     sync.Mutex
	series map[Series]*trackedSeries
}

func (c *countedSeries) get(name Series) *trackedSeries {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.series[name]
	if s == nil {
		s = &trackedSeries{name: name}
		c.series[name] = s
	}
	return s
}

func (c *countedSeries) all() []*trackedSeries {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*trackedSeries, 0, len(c.series))
	for _, s := range c.series {
		all = append(all, s)
	}
	return all
}

// trackedSeries are counters that remember when each of them last changed.
type trackedSeries struct {
	name Series

	mu       sync.Mutex
	counters Counters
	changed  []uint64 // epoch of the last change of each counter
	epoch    uint64   // of the change under way
}

// update makes one change under the lock. The epoch is read under the lock: a
// copy first ends the epoch and then takes the lock, so a change that it does
// not see carries the next one and is in the next copy.
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

// leastIdle is the least time to the first token that a slowdown is measured
// against. Below it the network and the callers' own distance are most of the
// time, and a cached prompt would count as slowed down on an idle fleet.
const leastIdle = 25 * time.Millisecond

func (t *trackedSeries) addObjectives(s Served, o settings.Objectives) {
	if o.FirstToken > 0 {
		t.addEither(s.FirstToken <= o.FirstToken, KindFirstTokenMet, KindFirstTokenMissed)
	}
	if o.SlowdownBound > 0 && s.IdleFirstToken > 0 {
		bound := time.Duration(o.SlowdownBound * float64(max(s.IdleFirstToken, leastIdle)))
		t.addEither(s.FirstToken <= bound, KindSlowdownMet, KindSlowdownMissed)
	}
}

func (t *trackedSeries) addEither(met bool, yes, no FieldKind) {
	if met {
		t.add(plainField(yes), 1)
		return
	}
	t.add(plainField(no), 1)
}

// changedSince returns the counters that changed after an epoch.
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
