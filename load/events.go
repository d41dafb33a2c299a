package load

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventLost = event.Define(8500, logrus.ErrorLevel, "request lost",
		"A request had no final answer by its deadline and the grace. Its caller would still be waiting.")
	eventCrossed = event.Define(8501, logrus.ErrorLevel, "wrong answer shown",
		"An answer that was shown as whole is not the answer to its request.")
	eventCountsFailed = event.Define(8502, logrus.ErrorLevel, "executions unknown",
		"A service did not tell what it executed, so whether calls ran twice is not known.")
)
