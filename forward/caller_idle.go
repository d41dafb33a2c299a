package forward

import (
	"time"

	"celeryport/transit"
)

// awaitCall waits for the first byte of a call and reports whether it has arrived. The settings may
// change meanwhile, so the limit is asked for again before the connection is closed.
func (c *callerConn) awaitCall() bool {
	since := time.Now()
	for limit := c.idleLimit(); ; {
		if c.interruption.SetReadDeadline(c.conn, true, since.Add(limit)) != nil {
			return false
		}
		_, err := c.reader.Peek(1)
		idle := time.Since(since)
		switch {
		case err == nil:
			return true
		case !passedDeadline(err):
			return false
		case c.interruption.Stopped():
			return c.lastLook(endedStopping, idle, limit)
		}
		if limit = c.idleLimit(); idle >= limit {
			return c.lastLook(endedIdle, idle, limit)
		}
	}
}

// lastLook reports whether a call has arrived after all. A read may end with its deadline although data
// arrived just before. Closing the connection then would leave a whole call without an answer.
func (c *callerConn) lastLook(cause endCause, idle, limit time.Duration) bool {
	if c.conn.SetReadDeadline(time.Now().Add(lastLookTime)) != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	if !passedDeadline(err) {
		return err == nil
	}
	if c.hold(true) {
		return true
	}
	c.logIdleEnd(cause, idle, limit)
	return false
}

// lastLookTime is how long a connection that is about to be closed is read once more. What has arrived
// before is read at once.
const lastLookTime = 5 * time.Millisecond

// idleLimit returns how long the connection may be idle by the newest settings, but at least for the time stated to its
// caller. Those of other instances may be idle for longer than these use them again.
func (c *callerConn) idleLimit() time.Duration {
	limit := c.server.idleLimit.At(time.Now(), callerLimits(c.server.options.Plane.View()).IdleTimeout)
	if c.openFor > 0 {
		limit = max(limit, c.openFor+crossingTime)
	}
	if c.transit {
		return max(limit, minTransitIdle)
	}
	return limit
}

// stateIdle returns for how long the connection may be idle after the next answer, as stated to its caller: a call that
// is sent just before that time has to arrive before the connection is closed. Nothing is stated to other instances.
func (c *callerConn) stateIdle() time.Duration {
	if c.transit {
		return 0
	}
	limit := callerLimits(c.server.options.Plane.View()).IdleTimeout
	c.openFor = max(0, limit-crossingTime).Truncate(time.Second)
	return c.openFor
}

// crossingTime is how long a call may be on its way while its connection is about to be closed.
const crossingTime = 500 * time.Millisecond

const minTransitIdle = 2 * transit.IdleFor
