package load

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventLost = event.Define(8500, logrus.ErrorLevel, "request lost",
		"A request received no final answer before its deadline plus the grace period. Its caller would still be waiting.")
	eventCrossed = event.Define(8501, logrus.ErrorLevel, "wrong answer delivered",
		"A response that was delivered as complete is not the correct answer to its request.")
	eventCountsFailed = event.Define(8502, logrus.ErrorLevel, "executions unknown",
		"A service did not report what it executed, so it is unknown whether calls ran twice.")
)
