package binding

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventNotFree = event.Define(1140, logrus.WarnLevel, "address not free",
		"An address of the instance can't be bound yet, for instance because another process holds it or because file descriptors are short. The instance waits for it and repeats this line from time to time; what does not depend on the address works meanwhile. End the process that holds the address, or raise the limit. Fields: purpose, address, error, waited_ms.")
	eventBound = event.Define(1141, logrus.InfoLevel, "address bound",
		"The instance listens on an address that it had to wait for. Fields: purpose, address, waited_ms.")
	eventRefused = event.Define(1142, logrus.ErrorLevel, "address refused",
		"An address in the process settings can't be used on this host: it belongs to another host, is malformed, or needs a permission that the process lacks. The process ends with exit code 2; correct the settings. Fields: purpose, address, error.")
)
