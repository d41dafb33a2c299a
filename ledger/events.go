package ledger

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var outOfOrder = event.Define(4000, logrus.ErrorLevel, "request counted out of order",
	"A request was counted as received twice, or as ended without having been received or a second time. "+
		"The call was left out of the counters. This is a fault of the program: please report it with the request's log lines.")

var bookOpened = event.Define(4001, logrus.InfoLevel, "ledger opened",
	"A voter has read the counters of all instances from its data folder. Nothing needs to be done.")

var bookRewritten = event.Define(4002, logrus.InfoLevel, "ledger log replaced by its state",
	"The log of copied counters had grown and was replaced by the counters themselves. Nothing needs to be done.")

var bookJoined = event.Define(4003, logrus.InfoLevel, "ledger joined with those of other voters",
	"This voter had lost its disk or was away, and took over what the other voters know of instances that have ended. Nothing needs to be done.")

var clockDiffers = event.Define(4004, logrus.WarnLevel, "clock of an instance differs",
	"The clock of an instance is more than a minute from that of this voter, whose time was taken for the instance's counters. Set the clocks by a common source.")
