package wal

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/event"
)

const (
	awaitInterval    = 500 * time.Millisecond // pause between two attempts to open a folder
	awaitLogInterval = 10 * time.Second       // time between two lines while the reason stays the same
)

// Await calls open until it succeeds, and waits between attempts while the reason of a failure
// may pass. It returns the error of open if that can't pass, or the error of ctx. The wait is
// logged when it begins, when its reason changes, from time to time, and when it has ended. open
// must leave nothing open when it fails.
func Await(ctx context.Context, folder string, log logrus.FieldLogger, open func() error) error {
	var began, logged time.Time
	var reason string
	for {
		answered := LogHang(log, folder)
		err := open()
		answered()
		now := time.Now()
		if err == nil {
			if !began.IsZero() {
				eventAvailable.Log(log, event.Fields{"folder": folder, "waited_ms": now.Sub(began).Milliseconds()})
			}
			return nil
		}
		if !MayPass(err) {
			LogUnusable(log, folder, err)
			return err
		}
		if began.IsZero() {
			began = now
		}
		if text := err.Error(); text != reason || now.Sub(logged) >= awaitLogInterval {
			eventAwaited.Log(log, event.Fields{"folder": folder, "error": text, "waited_ms": now.Sub(began).Milliseconds()})
			reason, logged = text, now
		}
		if !clock.Pause(ctx, awaitInterval) {
			return ctx.Err()
		}
	}
}

// LogUnusable logs that a folder can't be used for a reason that can't pass.
func LogUnusable(log logrus.FieldLogger, folder string, err error) {
	eventUnusable.Log(log, event.Fields{"folder": folder, "error": err.Error()})
}
