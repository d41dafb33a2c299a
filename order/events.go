package order

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventSent = event.Define(3900, logrus.InfoLevel, "engine order sent",
		"The reconciler sends an engine an order towards the desired state in the settings tree. Fields: engine, kind, value, order, term, index.")
	eventRefused = event.Define(3901, logrus.WarnLevel, "engine order refused",
		"The engine refused an order; after a pause its state is read and the order is sent again if it is still needed. If the reason is an old fencing number, another instance issues orders.")
	eventLost = event.Define(3902, logrus.WarnLevel, "engine call failed",
		"A call to an engine got no usable answer. The engine's state is read before the next order.")
)
