package connlimit

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var eventRefused = event.Define(1183, logrus.WarnLevel, "too many connections",
	"More connections are open at an address than the descriptors of the process allow; new ones are refused until others are closed. "+
		"Logged at most once in 10 s for each address. Raise [limits] descriptors and the limit of the process, or add instances. Fields: address, limit, refused (total).")
