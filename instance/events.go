package instance

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// The log events of a whole instance.
var (
	eventServing = event.Define(1100, logrus.InfoLevel, "serving callers",
		"The control group has confirmed this instance and its traffic address is open.")
	eventNotCopied = event.Define(1101, logrus.DebugLevel, "counters not copied",
		"A voter did not take the counters of this instance. The next copy holds them as well; reports show them as unknown if the instance dies before.")
)
