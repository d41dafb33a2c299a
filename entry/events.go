package entry

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// Log events of the caller-facing side.
var (
	eventDraining = event.Define(1000, logrus.InfoLevel, "draining",
		"A graceful shutdown began with in_flight requests. The instance keeps accepting requests for accept_for, then refuses new ones and finishes those in flight.")
	eventDrainNotAnnounced = event.Define(1001, logrus.WarnLevel, "drain was not announced to other instances",
		"Other instances list this one until its lease expires. Refused callers are given other addresses.")
	eventStopped = event.Define(1002, logrus.InfoLevel, "traffic stopped",
		"The graceful shutdown has ended. cut_off counts the requests that were cut off when drain_timeout expired; raise it if the count is not 0. unacknowledged counts the connections whose answers had been written by then, but not acknowledged completely by their callers' hosts; what was missing is lost if the machine ends with the process.")
	eventOrphan = event.Define(1003, logrus.WarnLevel, "engine holds memory of a request without a live owner",
		"The sweep found a request of an instance that is gone, or one of this instance that is no longer in flight, and cancels it.")
	eventSweepFailed = event.Define(1004, logrus.DebugLevel, "sweep could not list the requests that an engine holds",
		"The engine did not answer; the next sweep asks it again.")
	eventOutlierEjected = event.Define(1005, logrus.WarnLevel, "upstream avoided because it fails requests",
		"An upstream fails more of the requests that it accepts than the others of its model or service. It gets none from this instance for for_ms, then one at a time until it answers one. Look at the upstream: its announcements may be sound. Fields: target (model or service), upstream, address, for_ms.")
	eventOutlierRestored = event.Define(1006, logrus.InfoLevel, "upstream that failed requests is used again",
		"An upstream that was avoided because it failed requests has answered one. Fields: target, upstream, address.")
)
