package instance

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// The log events of a whole instance.
var (
	eventServing = event.Define(1100, logrus.InfoLevel, "serving callers",
		"The addresses of the instance are open. Fields: address, serves.")
	eventStopping = event.Define(1101, logrus.InfoLevel, "stopping",
		"The instance was asked to stop: callers get other addresses, what is under way is finished.")
	eventStopped = event.Define(1102, logrus.InfoLevel, "stopped",
		"The instance ends. Fields: error, if it did not end by request.")
	eventDrainUntold = event.Define(1103, logrus.WarnLevel, "stop not announced",
		"No leader of the control group could be told that this instance stops; callers get its address until it is missed.")
)
