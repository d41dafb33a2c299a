package cli

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"celeryport/event"
	"celeryport/signals"
)

var eventSignal = event.Define(1160, logrus.InfoLevel, "signal received",
	"The process acts on a signal; a repeated SIGTERM or SIGINT changes nothing. Fields: signal, action.")

// followSignals turns signals, beginning with those that arrived before, into requests until ctx
// ends. Each is logged. The context that it returns ends with the first SIGTERM or SIGINT, which asks
// for a graceful stop. More of them shorten nothing: process managers and wrappers send them twice. SIGHUP is
// passed to reload, which holds one value; nil: the instance does not reload settings.
func followSignals(ctx context.Context, log logrus.FieldLogger, reload chan<- struct{}) context.Context {
	stop, beginStop := context.WithCancel(ctx)
	consumer := signals.Consume()
	go func() {
		defer beginStop()
		defer consumer.Close()
		for {
			select {
			case <-ctx.Done():
				return
			case received := <-consumer.HangUps:
				hangUp(received, reload, log)
			case received := <-consumer.Stops:
				action := "stop"
				if stop.Err() != nil {
					action = "none: the stop goes on"
				}
				logSignal(log, received, action)
				beginStop()
			}
		}
	}()
	return stop
}

func hangUp(received os.Signal, reload chan<- struct{}, log logrus.FieldLogger) {
	if reload == nil {
		logSignal(log, received, "none: the settings apply from the next start on")
		return
	}
	logSignal(log, received, "check the file of the process settings")
	select {
	case reload <- struct{}{}:
	default: // the check that is requested already comes after this signal, too
	}
}

func logSignal(log logrus.FieldLogger, received os.Signal, action string) {
	eventSignal.Log(log, event.Fields{"signal": received.String(), "action": action})
}
