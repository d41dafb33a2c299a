package instance

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/forward"
	"celeryport/settings"
)

const (
	// drainFraction is the fraction of the drain timeout that draining may take. The rest is
	// left for closing.
	drainFraction = 0.85
	// drainIdle ends draining early when no call has arrived for this long.
	drainIdle = 600 * time.Millisecond
	// minDrain is the minimum duration of draining: callers may use a list of addresses
	// for this long after they received it.
	minDrain = directoryCacheTime + 300*time.Millisecond
	// closingTimeout is how long closing everything may take after draining: control has to
	// leave the group and to finish the calls of other instances.
	closingTimeout = time.Second
	// announceTimeout limits the announcement to the control group that this instance stops.
	announceTimeout = time.Second
)

// drainLimit is how long draining may take.
func drainLimit(p *settings.Process) time.Duration {
	return time.Duration(float64(p.DrainTimeout) * drainFraction)
}

// drain drains the instance so that calls in progress can finish, and closes the connections of
// callers. Draining ends early when abort ends.
func (f *forwarding) drain(abort context.Context) error {
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		f.announceDraining(abort)
	}()
	server := f.server.Load()
	server.Drain(abort, forward.DrainPlan{MinDuration: minDrain, IdleTime: drainIdle, Limit: drainLimit(f.options.Process)})
	server.Close()
	<-announced
	return nil
}

// leaveAlone announces the stop of an instance that takes no calls.
func (f *forwarding) leaveAlone(abort context.Context) error {
	if !f.takesCalls() {
		f.announceDraining(abort)
	}
	return nil
}

// announceDraining notifies the control group that this instance stops. It returns when ctx or
// announceTimeout ends even if control is stuck, in a write to its disk for instance.
func (f *forwarding) announceDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := construct(ctx, func() (struct{}, error) { return struct{}{}, f.node.Drain(ctx) })
	if err != nil {
		eventDrainNotAnnounced.Log(f.options.Log, event.Fields{"error": err})
	}
}
