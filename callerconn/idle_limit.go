package callerconn

import (
	"sync"
	"time"
)

// idleOverlap is how long after a change of the idle limit callers may still go by the former one.
const idleOverlap = 15 * time.Second

// IdleLimit is how long connections of callers may be idle. A caller and this instance learn of a change
// at different moments, and a call that is sent on a connection just as it is closed gets no answer.
// Therefore the larger one of two limits holds for connections that are idle already, and a smaller one
// only some time after the change. It is safe for concurrent use.
type IdleLimit struct {
	mu        sync.Mutex
	current   time.Duration
	former    time.Duration // the largest one of those replaced within idleOverlap before changedAt
	changedAt time.Time     // when the limit was last seen to be lower than before
}

// At returns the limit that holds now. stated is the limit of the newest settings.
func (l *IdleLimit) At(now time.Time, stated time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.changedAt) >= idleOverlap {
		l.former = 0
	}
	if stated < l.current {
		l.former, l.changedAt = max(l.former, l.current), now
	}
	l.current = stated
	return max(l.current, l.former)
}
