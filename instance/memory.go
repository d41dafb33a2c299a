package instance

import (
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"celeryport/bytebudget"
	"celeryport/event"
)

// Variables of the environment with which an operator sets the garbage collector. They have
// precedence over the bounds.
const (
	variableSoftLimit = "GOMEMLIMIT"
	variableGCPercent = "GOGC"
)

// applyMemoryBounds sets the soft limit and the garbage collector of the Go runtime from the
// smallest limit on the memory of this process: the one that the settings state in bytes (0:
// none), the memory of the machine, or a limit of the kernel. It returns that limit in bytes, 0
// if none is known.
func applyMemoryBounds(files kernelFiles, stated int64, log logrus.FieldLogger) int64 {
	limits, err := files.memoryLimits(stated)
	decided := bytebudget.Smallest(limits...)
	bounds := bytebudget.BoundsFor(decided.Bytes)
	if bounds.Process > 0 && os.Getenv(variableSoftLimit) == "" {
		debug.SetMemoryLimit(bounds.Process)
	}
	if bounds.GCPercent > 0 && os.Getenv(variableGCPercent) == "" {
		debug.SetGCPercent(bounds.GCPercent)
	}
	fields := event.Fields{
		"limit_bytes": decided.Bytes, "decided_by": decided.Source, "bodies_bytes": bounds.Bodies,
		"answers_bytes": bounds.Answers, "process_bytes": bounds.Process, "gc_percent": bounds.GCPercent,
	}
	for _, l := range limits {
		if l.Source == bytebudget.SourceMachine {
			fields["machine_bytes"] = l.Bytes
		}
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	eventMemory.Log(log, fields)
	return decided.Bytes
}
