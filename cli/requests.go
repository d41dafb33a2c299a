package cli

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"celeryport/event"
	"celeryport/signals"
)

var eventSignal = event.Define(1160, logrus.InfoLevel, "signal received",
	"The process acts on a signal. Fields: signal, action.")

// requests are what the signals of the process ask an instance for.
type requests struct {
	stop  context.Context // ends with the first SIGTERM or SIGINT
	abort context.Context // ends with the second one: no more graceful shutdown
}

// followSignals turns signals, beginning with those that arrived before, into requests until ctx
// ends. Each is logged. SIGHUP is passed to reload, which holds one value; nil: the instance does
// not reload settings.
func followSignals(ctx context.Context, log logrus.FieldLogger, reload chan<- struct{}) requests {
	stop, beginStop := context.WithCancel(ctx)
	abort, beginAbort := context.WithCancel(ctx)
	consumer := signals.Consume()
	go func() {
		defer beginStop()
		defer beginAbort()
		defer consumer.Close()
		for {
			select {
			case <-ctx.Done():
				return
			case received := <-consumer.HangUps:
				hangUp(received, reload, log)
			case received := <-consumer.Stops:
				if stop.Err() == nil {
					logSignal(log, received, "stop")
					beginStop()
					continue
				}
				logSignal(log, received, "cut off the calls in flight")
				beginAbort()
			}
		}
	}()
	return requests{stop: stop, abort: abort}
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
