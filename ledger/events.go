package ledger

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var outOfOrder = event.Define(4000, logrus.ErrorLevel, "request counted out of order",
	"A request was counted as received twice, as ended twice, or as ended without having been received. "+
		"The call was not counted. This is a bug: please report it with the log lines of the request.")

var storeOpened = event.Define(4001, logrus.InfoLevel, "ledger opened",
	"The voter has read the counters of all instances from its data folder. No action is needed.")

var logRewritten = event.Define(4002, logrus.InfoLevel, "ledger log replaced by its state",
	"The log of copied counters reached its size limit and was replaced by the current counters. No action is needed.")

var statesMerged = event.Define(4003, logrus.InfoLevel, "ledger merged with those of other voters",
	"This voter had lost its disk or was unavailable, and has copied the counters of ended instances from the other voters. No action is needed.")

var clockDiffers = event.Define(4004, logrus.WarnLevel, "clock of an instance differs",
	"The clock of an instance differs by more than a minute from that of this voter, so the voter's time was used for the instance's counters. Synchronise the clocks with a common source.")
