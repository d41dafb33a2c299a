package supervise

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventEnded = event.Define(1120, logrus.ErrorLevel, "component ended",
		"A component of the instance ended without a request. What follows: reopen (its I/O is opened again after a pause, the other components go on), stop (the instance can't work without it and stops the others in order), continue (the instance stops already). Fields: component, error (absent if there was none), then, pause_ms.")
	eventReopened = event.Define(1121, logrus.InfoLevel, "component works again",
		"The I/O of a component that had ended was opened again. Fields: component.")
	eventNotEnded = event.Define(1122, logrus.ErrorLevel, "component did not end in time",
		"A component was asked to stop and still runs; the process ends without it. Report it as a bug. Fields: component, waited_ms.")
	eventStopFailed = event.Define(1123, logrus.WarnLevel, "component stopped with an error",
		"A component ended as requested, but could not finish all its work. Fields: component, error.")
)
