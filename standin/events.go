package standin

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventStarted = event.Define(8000, logrus.InfoLevel, "stand-in started",
		"A stand-in upstream accepts calls at the address and announces itself.")
	eventLeaving = event.Define(8001, logrus.InfoLevel, "stand-in is leaving",
		"The stand-in announces that it is leaving, refuses new work and finishes the running work.")
	eventStopped = event.Define(8002, logrus.InfoLevel, "stand-in stopped",
		"No work is running any more; the process exits.")
	eventAnnounceFailed = event.Define(8003, logrus.DebugLevel, "announcement failed",
		"An instance could not be reached or refused the announcement; the next attempt follows after one second.")
	eventFault = event.Define(8004, logrus.WarnLevel, "fault switched",
		"A test enabled or cleared a fault of the stand-in; while a fault is enabled, the stand-in misbehaves deliberately.")
	eventReaderLost = event.Define(8005, logrus.InfoLevel, "reader lost",
		"The connection of an answer broke; unless the answer is resumed within the resume window, its work is cancelled.")
	eventCancelled = event.Define(8006, logrus.InfoLevel, "work ended early",
		"A request was cancelled, exceeded its deadline or was not resumed; its memory has been freed.")
	eventOrder = event.Define(8007, logrus.InfoLevel, "order executed",
		"The engine executed an order of the control group.")
	eventOrderRefused = event.Define(8008, logrus.WarnLevel, "order refused",
		"The fencing number of the order is lower than one seen before: its issuer has been replaced.")
	eventJournalFailed = event.Define(8009, logrus.ErrorLevel, "journal failed",
		"An entry of the journal could not be written; later comparisons of the journal with reports are invalid.")
)
