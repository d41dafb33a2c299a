package entry

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// The log events of the caller side.
var (
	eventDraining = event.Define(1000, logrus.InfoLevel, "draining",
		"A graceful shutdown began. The instance accepts for accept_for, then refuses new requests and finishes in_flight.")
	eventDrainUntold = event.Define(1001, logrus.WarnLevel, "other instances were not told of the drain",
		"The instance is handed out by others until its lease lapses. Callers who are refused are given other addresses.")
	eventStopped = event.Define(1002, logrus.InfoLevel, "traffic stopped",
		"The graceful shutdown has ended. cut_off counts requests that its bound cut off; raise drain_timeout if it is not 0.")
	eventOrphan = event.Define(1003, logrus.WarnLevel, "engine holds memory without a live owner",
		"The sweep found a request of an instance that is gone, or one that this instance no longer knows, and cancels it.")
	eventSweepFailed = event.Define(1004, logrus.DebugLevel, "sweep could not ask an engine",
		"The engine did not list what it holds; the next sweep asks again.")
)
