package instance

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/forward"
	"celeryport/settings"
)

const (
	// closeReserve, leaveReserve and exitReserve are what is left of the drain timeout after new calls are taken: for
	// closing the connections of callers, for leaving the control group and finishing the calls of other instances, and
	// for the end of the process. A group that is not told of the leave in time waits for the end of a lease.
	// Calls under way go on beside the first two.
	closeReserve = 400 * time.Millisecond
	leaveReserve = 250 * time.Millisecond
	exitReserve  = 100 * time.Millisecond
	// maxReserve bounds what is left of a short drain timeout, as a fraction of it.
	maxReserve = 0.5
	// drainIdle ends draining early when no call has arrived for this long.
	drainIdle = 600 * time.Millisecond
	// minDrain is the minimum duration of draining: callers may use a list of addresses
	// for this long after they received it.
	minDrain = directoryCacheTime + 300*time.Millisecond
	// maxLeave bounds leaving the control group.
	maxLeave = 300 * time.Millisecond
	// announceTimeout limits the announcement to the control group that this instance stops.
	announceTimeout = time.Second
)

// drainLimit is how long draining may take.
func drainLimit(p *settings.Process) time.Duration {
	return p.DrainTimeout - reserve(p, closeReserve+leaveReserve+exitReserve)
}

// closeLimit is how long draining and closing the connections of callers may take.
func closeLimit(p *settings.Process) time.Duration {
	return p.DrainTimeout - reserve(p, leaveReserve+exitReserve)
}

// finishLimit is how long calls that are under way may take. Callers that still send use up CloseGrace after it, and a busy
// machine may need more than exitReserve for the end of the process.
func finishLimit(p *settings.Process) time.Duration {
	return stopLimit(p) - min(forward.CloseGrace+exitReserve, reserve(p, closeReserve+leaveReserve))
}

// leaveLimit is how long leaving the control group may take: at most half of what is left after draining, because the
// calls of other instances are finished after it.
func leaveLimit(p *settings.Process) time.Duration {
	return min(maxLeave, reserve(p, closeReserve+leaveReserve)/2)
}

// stopLimit is how long the whole stop may take.
func stopLimit(p *settings.Process) time.Duration {
	return p.DrainTimeout - reserve(p, exitReserve)
}

// reserve returns the time that is left for a part of the end: less than wanted if the drain timeout is short.
func reserve(p *settings.Process, wanted time.Duration) time.Duration {
	const whole = closeReserve + leaveReserve + exitReserve
	most := time.Duration(maxReserve * float64(p.DrainTimeout))
	if whole <= most {
		return wanted
	}
	return time.Duration(float64(most) * float64(wanted) / float64(whole))
}

// drain drains the instance, and lets it take no more calls. Those under way go on until finishLimit, see finish.
func (f *forwarding) drain(ctx context.Context) error {
	finishBy := time.Now().Add(finishLimit(f.options.Process))
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		f.announceDraining(ctx)
	}()
	server := f.server.Load()
	server.Drain(ctx, forward.DrainPlan{MinDuration: minDrain, IdleTime: drainIdle, Limit: drainLimit(f.options.Process)})
	server.StopTaking()
	go func() {
		defer close(f.finished)
		server.Finish(finishBy)
	}()
	<-announced
	return nil
}

// finish waits for the calls that were under way at the end of the drain.
func (f *forwarding) finish(ctx context.Context) error {
	if f.server.Load() == nil {
		return nil
	}
	select {
	case <-f.finished:
	case <-ctx.Done():
	}
	return nil
}

// leaveAlone announces the stop of an instance that takes no calls.
func (f *forwarding) leaveAlone(ctx context.Context) error {
	if !f.takesCalls() {
		f.announceDraining(ctx)
	}
	return nil
}

// announceDraining notifies the control group that this instance stops. It returns when ctx or
// announceTimeout ends even if control is stuck, in a write to its disk for instance.
func (f *forwarding) announceDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(announceTimeout, drainLimit(f.options.Process)))
	defer cancel()
	_, err := construct(ctx, func() (struct{}, error) { return struct{}{}, f.node.Drain(ctx) })
	if err != nil {
		eventDrainNotAnnounced.Log(f.options.Log, event.Fields{"error": err})
	}
}
