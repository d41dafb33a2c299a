package cli

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var eventRefused = event.Define(1161, logrus.ErrorLevel, "start refused",
	"The command line or the process settings can't be used; the process ends with exit code 2. Fields: error.")
