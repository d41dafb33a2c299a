package accounting

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var copyFailed = event.Define(4100, logrus.WarnLevel, "counters can't be copied to a voter",
	"The voter did not accept a copy of this instance's counters. The counters are retained and copied when the voter answers again. "+
		"If this instance is killed before any voter has them, the report shows them as unknown.")

var copyResumed = event.Define(4101, logrus.InfoLevel, "counters are copied to a voter again",
	"The voter accepts copies again. No action is needed.")

var dumpFailed = event.Define(4102, logrus.WarnLevel, "an instance did not answer for a report",
	"A report was built without the current counters of this instance: it shows them as of the last copy and lists the instance as unknown since then.")

var mergeFailed = event.Define(4103, logrus.ErrorLevel, "counters of other voters could not be merged",
	"Writing the merged counters to the data folder failed. The voter continues with the counters that it has, but accepts no more copies: repair or replace the disk and restart.")
