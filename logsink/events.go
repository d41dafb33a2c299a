package logsink

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// A writer writes these lines to its outputs itself, since the buffer behind the logger may be full.
var (
	eventDropped = event.Define(1900, logrus.WarnLevel, "log lines dropped",
		"Log lines were lost: the output was too slow and the buffer full, or neither output could be written. Fields: lines, the number of lines dropped since the last such event.")
	eventOutputLost = event.Define(1901, logrus.ErrorLevel, "log output lost",
		"The output of the log can't be written; lines go to the other standard stream. At the first, look at what reads the output. Fields: error, since.")
	eventOutputRestored = event.Define(1902, logrus.InfoLevel, "log output restored",
		"The output of the log can be written again. Fields: since, when it was lost, and lines, the number of lines that went to the other standard stream meanwhile.")
	eventUnwritten = event.Define(1903, logrus.WarnLevel, "log lines not written at the end",
		"The output of the log stalled, and the process ended without waiting for it. Fields: lines, the number of lines that are lost.")
)
