package instance

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/forward"
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
	// New streams are accepted until streamDuration before the end of draining, other calls
	// until callDuration before it. This is enough for most streams and all other calls to
	// finish. Some callers use a list of addresses for longer than they may cache it; a
	// stream that is accepted too late is cut off at the end of draining.
	streamDuration = 4300 * time.Millisecond
	callDuration   = 1600 * time.Millisecond
	// announceTimeout limits the announcement to the control group that this instance stops.
	announceTimeout = time.Second
)

// shutDown waits for stop, then drains the instance so that calls in progress can finish.
func (f *forwarding) shutDown(ctx, stop, hardStop context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stop.Done():
	}
	eventStopping.Log(f.options.Log, nil)
	limit := time.Duration(float64(f.options.Process.DrainTimeout) * drainFraction)
	bounded, cancel := context.WithTimeout(hardStop, limit)
	defer cancel()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		f.announceDraining(bounded)
	}()
	if f.server != nil {
		f.server.Drain(bounded, forward.DrainPlan{
			MinDuration: minDrain, IdleTime: drainIdle, Streams: limit - streamDuration, Calls: limit - callDuration,
		})
		f.server.Close()
	}
	<-announced
	return nil
}

func (f *forwarding) announceDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := f.node.Drain(ctx); err != nil {
		eventDrainNotAnnounced.Log(f.options.Log, event.Fields{"error": err})
	}
}
