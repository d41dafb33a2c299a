package keepalive

import "time"

const (
	// memory is for how long an observation counts.
	memory = time.Minute
	// margin is the part of the shortest idle time at which a connection ended for which others are used again.
	margin = 0.5
	// minIdle is the shortest idle time that shows a limit: a connection that ended sooner ended for another reason.
	minIdle = 20 * time.Millisecond
)

// Limit is what is known of the idle connections to one upstream. The zero value allows any idle time. It is not safe
// for concurrent use.
type Limit struct {
	shortest time.Duration
	at       time.Time
}

// Ended records that a connection ended without an answer to the first message after it had been idle for some time.
func (l *Limit) Ended(now time.Time, idle time.Duration) {
	if idle < minIdle {
		return
	}
	if !l.known(now) || idle < l.shortest {
		l.shortest = idle
	}
	l.at = now
}

// Allows reports whether a connection that has been idle for some time may carry a call.
func (l *Limit) Allows(now time.Time, idle time.Duration) bool {
	return !l.known(now) || idle < time.Duration(margin*float64(l.shortest))
}

func (l *Limit) known(now time.Time) bool { return l.shortest > 0 && now.Sub(l.at) < memory }
