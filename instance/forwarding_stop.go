package instance

import (
	"context"
	"time"

	"celeryport/event"
	"celeryport/forward"
)

const (
	// drainShare is the part of the drain timeout that a shutdown may take; what is
	// left is for closing.
	drainShare = 0.85
	// drainQuiet ends a shutdown when no call came for so long.
	drainQuiet = 600 * time.Millisecond
	// drainLeast is how long callers may still come with a list of addresses that
	// they just got.
	drainLeast = directoryKeep + 300*time.Millisecond
	// streamTime and callTime are what most streams and all other calls need to be
	// finished. Some callers come with a list of addresses that is older than they may
	// keep it; a stream that is taken too late is cut at the end of the drain.
	streamTime = 4300 * time.Millisecond
	callTime   = 1600 * time.Millisecond
	// noteTimeout bounds telling the others that this instance leaves.
	noteTimeout = time.Second
)

// shutDown waits for stop and leaves without cutting a call.
func (f *forwarding) shutDown(ctx, stop, cut context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stop.Done():
	}
	eventStopping.Log(f.options.Log, nil)
	limit := time.Duration(float64(f.options.Process.DrainTimeout) * drainShare)
	bounded, cancel := context.WithTimeout(cut, limit)
	defer cancel()
	told := make(chan struct{})
	go func() {
		defer close(told)
		f.tellDraining(bounded)
	}()
	if f.server != nil {
		f.server.Drain(bounded, forward.DrainPlan{
			MinDuration: drainLeast, IdleTime: drainQuiet, Streams: limit - streamTime, Calls: limit - callTime,
		})
		f.server.Close()
	}
	<-told
	return nil
}

func (f *forwarding) tellDraining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	if err := f.node.Drain(ctx); err != nil {
		eventDrainUntold.Log(f.options.Log, event.Fields{"error": err})
	}
}
