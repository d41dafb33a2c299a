package instance

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// The log events of a whole instance.
var eventServing = event.Define(1100, logrus.InfoLevel, "serving callers",
	"The control group has confirmed this instance and its traffic address is open.")
