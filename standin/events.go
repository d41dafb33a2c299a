package standin

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventStarted = event.Define(8000, logrus.InfoLevel, "stand-in started",
		"A stand-in upstream listens at the address and announces itself.")
	eventLeaving = event.Define(8001, logrus.InfoLevel, "stand-in is leaving",
		"It announces that it leaves, refuses new work and finishes what runs.")
	eventStopped = event.Define(8002, logrus.InfoLevel, "stand-in stopped",
		"Nothing runs any more; the process ends.")
	eventAnnounceFailed = event.Define(8003, logrus.DebugLevel, "announcement failed",
		"An entry instance could not be reached or refused the announcement; it is tried again in a second.")
	eventFault = event.Define(8004, logrus.WarnLevel, "fault switched",
		"A test switched a fault of the stand-in on or off; its answers are wrong on purpose until it is cleared.")
	eventReaderLost = event.Define(8005, logrus.InfoLevel, "reader lost",
		"The connection of an answer broke; the work is cancelled after the resume window unless it is resumed.")
	eventCancelled = event.Define(8006, logrus.InfoLevel, "work ended early",
		"A request was cancelled, ran out of time or was not resumed; its memory is free.")
	eventOrder = event.Define(8007, logrus.InfoLevel, "order executed",
		"The engine executed an order of the control group.")
	eventOrderRefused = event.Define(8008, logrus.WarnLevel, "order refused",
		"The order carries an older fencing number than one seen before; its issuer was replaced.")
	eventJournalFailed = event.Define(8009, logrus.ErrorLevel, "journal failed",
		"A line of the journal could not be written; comparisons with reports are void from here on.")
)
