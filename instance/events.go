package instance

import (
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// Log events of the instance as a whole.
var (
	eventServing = event.Define(1100, logrus.InfoLevel, "serving callers",
		"The instance accepts connections at its addresses for callers and for other instances. Fields: address, serves.")
	eventStopping = event.Define(1101, logrus.InfoLevel, "stopping",
		"The instance was asked to stop. Its address is no longer given to callers, and calls in progress are finished.")
	eventStopped = event.Define(1102, logrus.InfoLevel, "stopped",
		"The instance has stopped and the process ends. Fields: reason (requested, or failed: a component ended without which the instance can't work, or the start failed), error (absent if there was none), served (whether it has served before), exit (the code of the process).")
	eventDrainNotAnnounced = event.Define(1103, logrus.WarnLevel, "stop not announced",
		"No leader of the control group could be informed that this instance stops. Callers get its address until its lease lapses.")
	eventNotStarted = event.Define(1124, logrus.ErrorLevel, "not started",
		"The instance could not be started and ends without having served. Fields: error.")
	eventConnectionLimits = event.Define(1184, logrus.InfoLevel, "connection limits",
		"How many connections the process accepts at a time, from the smaller limit on its descriptors. Fields: descriptors (0: unknown), decided_by (settings, RLIMIT_NOFILE or none), callers, control, directory, probes (readiness and metrics, each; 0: no limit, or no such address), error, if the limit of the kernel could not be read.")
	eventMemory = event.Define(1104, logrus.InfoLevel, "memory bounds",
		"The bounds on the memory of this process, from the smallest limit on it. Fields: limit_bytes (0: none known), decided_by (settings, machine, control group, RLIMIT_AS, RLIMIT_DATA or none), machine_bytes (memory of the machine; 0: unknown), bodies_bytes, answers_bytes, process_bytes (0: none), gc_percent (0: the default), error, if a limit could not be read.")
)
