package accounting

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var copyFailed = event.Define(4100, logrus.WarnLevel, "counters can't be copied to a voter",
	"The voter did not take a copy of this instance's counters. They are kept here and copied when it answers again. "+
		"If this instance is killed before any voter has them, the report shows them as unknown.")

var copyResumed = event.Define(4101, logrus.InfoLevel, "counters are copied to a voter again",
	"The voter takes copies again and has everything. Nothing needs to be done.")

var dumpFailed = event.Define(4102, logrus.WarnLevel, "an instance did not answer for a report",
	"A report was made without the present counters of this instance: it shows them as of the last copy and names the instance as unknown since then.")

var mergeFailed = event.Define(4103, logrus.ErrorLevel, "books could not be joined",
	"The data folder refused a write of the joined counters. The voter goes on with what it has and takes no copies any more: repair or replace the disk and restart.")
