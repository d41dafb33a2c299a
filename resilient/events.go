package resilient

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

var (
	eventNotAccepted = event.Define(1150, logrus.WarnLevel, "connections not accepted",
		"Connections to an address could not be accepted, for instance because the process has no file descriptors left. The instance retries; this line is repeated from time to time while it lasts. Raise the limit or add instances. Fields: purpose, address, error (the latest), failures (since the last such line).")
	eventAccepted = event.Define(1151, logrus.InfoLevel, "connections accepted again",
		"An address accepts connections again after event 1150. Fields: purpose, address, failures (since that line).")
	eventNotReceived = event.Define(1152, logrus.WarnLevel, "datagrams not received",
		"Datagrams could not be received. The instance retries; this line is repeated from time to time while it lasts. Fields: purpose, address, error (the latest), failures (since the last such line).")
	eventReceived = event.Define(1153, logrus.InfoLevel, "datagrams received again",
		"An address receives datagrams again after event 1152. Fields: purpose, address, failures (since that line).")
	eventNotSent = event.Define(1154, logrus.WarnLevel, "datagrams not sent",
		"Datagrams could not be sent, for instance because a firewall rejects them or buffers are short. Later ones compensate for them; if the line is repeated, others learn less from this instance. Fields: purpose, address, to (of the latest), error (the latest), failures (since the last such line).")
	eventSocketFailed = event.Define(1155, logrus.ErrorLevel, "listening socket failed",
		"A listening socket no longer works, and what serves its address ends. Fields: purpose, address, error.")
)
