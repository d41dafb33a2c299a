package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"celeryport/drain"
	"celeryport/request"
	"celeryport/verdict"
)

// lateRequests decides which requests that arrive during a shutdown can still be finished, by how long
// requests of their class to their target have taken. It is safe for concurrent use.
type lateRequests struct {
	bound atomic.Pointer[shutdownBound] // nil: no shutdown, or one without a bound

	mu     sync.Mutex
	recent *drain.Durations
}

// shutdownBound is when a shutdown began and how long it takes at most.
type shutdownBound struct {
	began time.Time
	limit time.Duration
}

func newLateRequests() *lateRequests { return &lateRequests{recent: drain.NewDurations()} }

func durationKey(r *request.Request) drain.Key { return drain.Key{Route: r.Class, Service: r.Target} }

// record records a request that was answered now.
func (l *lateRequests) record(now time.Time, r *request.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent.Record(now, durationKey(r), now.Sub(r.Arrival), 0)
}

// check refuses a request that is not expected to end before the shutdown does.
func (l *lateRequests) check(now time.Time, r *request.Request) *verdict.Error {
	b := l.bound.Load()
	if b == nil {
		return nil
	}
	call := drain.Call{Left: r.Deadline.Sub(now)}
	l.mu.Lock()
	call.Recent, call.Known = l.recent.Recent(now, durationKey(r))
	l.mu.Unlock()
	d := drain.Decide(call, now.Sub(b.began), b.limit)
	if d.Fits() {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDraining, 0, "this instance is shutting down: %s needed (%s), %s left",
		d.Needed.Round(time.Millisecond), d.Basis, d.Left.Round(time.Millisecond))
}
