package order

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventSent = event.Define(3900, logrus.InfoLevel, "engine order sent",
		"The reconciler orders an engine towards the wishes of the settings tree. Fields: engine, kind, value, order, term, index.")
	eventRefused = event.Define(3901, logrus.WarnLevel, "engine order refused",
		"The engine refused an order; it is read again and ordered after a pause. If the reason is an old fencing number, another instance issues orders.")
	eventLost = event.Define(3902, logrus.WarnLevel, "answer of an engine lost",
		"A call to an engine got no answer. Its state is read back before it is ordered again.")
)
