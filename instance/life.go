package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/binding"
	"celeryport/event"
	"celeryport/supervise"
)

// life is one run of an instance from its start to the end of the process.
type life struct {
	log     logrus.FieldLogger
	address string // for callers; for the log
	serves  string
	// start starts the components. It returns an error if the instance can't be started, and
	// soon after ctx has ended.
	start func(ctx context.Context, group *supervise.Group) error
	// stopLimit bounds the shutdown.
	stopLimit time.Duration
}

// run starts the components and stops them when stop is done, or when a component ended without
// which the instance can't work. The error is why the instance ended without a request.
func (l *life) run(stop context.Context) error {
	group := supervise.NewGroup(l.log)
	running, cancel := group.Until(stop)
	defer cancel()
	failure := l.start(running, group)
	served := failure == nil
	if served {
		eventServing.Log(l.log, event.Fields{"address": l.address, "serves": l.serves})
		<-running.Done()
	}
	if ended := group.Failure(); ended != nil {
		failure = ended
	} else if stop.Err() != nil {
		failure = nil // what failed because the start was interrupted, or is no longer needed
	}
	if failure == nil {
		eventStopping.Log(l.log, nil)
	} else if !served {
		eventNotStarted.Log(l.log, event.Fields{"error": failure})
	}
	limit, release := context.WithTimeout(context.Background(), l.stopLimit)
	defer release()
	unfinished := group.Stop(limit)
	l.reportEnd(served, failure, unfinished)
	return errors.CombineErrors(failure, unfinished)
}

func (l *life) reportEnd(served bool, failure, unfinished error) {
	fields := event.Fields{"reason": "requested", "served": served, "exit": exitCode(errors.CombineErrors(failure, unfinished))}
	if failure != nil {
		fields["reason"] = "failed"
		fields["error"] = failure
	} else if unfinished != nil {
		fields["error"] = unfinished
	}
	eventStopped.Log(l.log, fields)
}

// Exit codes of the process, as package cli returns them.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2 // the settings can't be used on this host
)

// exitCode returns the exit code of the process for the error of Run or RunForwarding.
func exitCode(err error) int {
	var refusal *binding.Refusal
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &refusal):
		return exitSettings
	default:
		return exitFailed
	}
}

// construct calls build, which may wait for a disk, and returns early when ctx ends. What build
// returns afterwards is dropped: the process is about to end.
func construct[T any](ctx context.Context, build func() (T, error)) (T, error) {
	type result struct {
		built T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		built, err := build()
		done <- result{built, err}
	}()
	select {
	case r := <-done:
		return r.built, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
