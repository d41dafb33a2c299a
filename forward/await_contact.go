package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/failover"
	"celeryport/loadshare"
	"celeryport/resend"
)

// outlastSilence lets a call that was not sent, because its upstream took no connection, wait until one that
// it tried takes connections again or all count as ended. It returns the error that ends the call, nil if it is
// sent again; err is that of the other limits. A waiting call has no place at an upstream, and its body and
// connection count against their usual limits.
func (x *exchange) outlastSilence(ctx context.Context, o *outcome, err error) error {
	if o.cause() != resend.Unreachable || o.otherAtFault {
		x.unsentSince = time.Time{}
		return err
	}
	if x.unsentSince.IsZero() {
		x.unsentSince = time.Now()
	}
	for waited := false; ctx.Err() == nil && !x.leavesInstance(); waited = true {
		changed, now := x.server.fleet.contactChange(), time.Now()
		state, reached := x.silence(now)
		switch state.Next(now) {
		case resend.Refuse:
			return x.failure(o)
		case resend.SendAgain:
			if waited {
				x.failed.ForgetUnreachable()
				x.readmit(reached)
			}
			return err
		case resend.AwaitContact:
			err = nil
			x.checkTried()
			awaitChange(ctx, changed, min(recheckInterval, state.Until().Sub(now)))
		}
	}
	return err
}

// leavesInstance reports whether the call goes on at another instance because this one has lost its paths.
func (x *exchange) leavesInstance() bool {
	return x.usesPeers() || x.transit != nil && x.server.fleet.paths.Lost(x.service.Name)
}

// silence returns what is known of the upstreams of a call that was not sent, and which of those that it
// tried take connections.
func (x *exchange) silence(now time.Time) (state resend.Silence, reached []loadshare.Key) {
	f := x.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	state = resend.Silence{Deadline: x.deadline, Since: x.unsentSince, Restarting: x.failed.Missed() > x.failed.Unreachable()}
	for key, n := range f.inUse(x.server.options.Plane.View().Upstreams, x.service.Name) {
		c := n.reachability.Contact(now, false)
		if !slices.Contains(x.tried, key) {
			ended := n.suspicion.active(now) && c == failover.Ended && !n.reachability.Refused()
			state.Untried = state.Untried || !ended && x.failed.MayMeetSilence()
			continue
		}
		state.Tried = append(state.Tried, c)
		if c == failover.Reachable {
			reached = append(reached, key)
		}
	}
	return state, reached
}

// readmit lets the call try upstreams again that take connections.
func (x *exchange) readmit(reached []loadshare.Key) {
	x.tried = slices.DeleteFunc(x.tried, func(key loadshare.Key) bool { return slices.Contains(reached, key) })
	x.plans++ // the arbiter repeats its answer to an ask of the same name
}

// checkTried checks in the background whether the upstreams that the call tried take connections.
func (x *exchange) checkTried() {
	f := x.server.fleet
	f.mu.Lock()
	nodes := f.inUse(x.server.options.Plane.View().Upstreams, x.service.Name)
	f.mu.Unlock()
	for _, key := range x.tried {
		if n := nodes[key]; n != nil {
			f.retryContact(n)
		}
	}
}

// awaitChange waits for a change, at most for a time.
func awaitChange(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	bound := time.NewTimer(most)
	defer bound.Stop()
	select {
	case <-changed:
	case <-bound.C:
	case <-ctx.Done():
	}
}
