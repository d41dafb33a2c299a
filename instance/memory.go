package instance

import (
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/procfs"
	"github.com/sirupsen/logrus"

	"celeryport/bytebudget"
	"celeryport/event"
)

// machineFiles is where the kernel reports the memory of the machine.
const machineFiles = procfs.DefaultMountPoint

// Variables of the environment with which an operator sets the garbage collector. They have
// precedence over the bounds.
const (
	variableSoftLimit = "GOMEMLIMIT"
	variableGCPercent = "GOGC"
)

// applyMemoryBounds sets the soft limit and the garbage collector of the Go runtime from the memory
// of the machine, and returns that memory in bytes, 0 if it can't be read.
func applyMemoryBounds(folder string, log logrus.FieldLogger) int64 {
	machine, err := machineMemory(folder)
	bounds := bytebudget.BoundsFor(machine)
	if bounds.Process > 0 && os.Getenv(variableSoftLimit) == "" {
		debug.SetMemoryLimit(bounds.Process)
	}
	if bounds.GCPercent > 0 && os.Getenv(variableGCPercent) == "" {
		debug.SetGCPercent(bounds.GCPercent)
	}
	fields := event.Fields{
		"machine_bytes": machine, "bodies_bytes": bounds.Bodies, "answers_bytes": bounds.Answers, "process_bytes": bounds.Process,
		"gc_percent": bounds.GCPercent,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	eventMemory.Log(log, fields)
	return machine
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory(folder string) (int64, error) {
	files, err := procfs.NewFS(folder)
	if err != nil {
		return 0, errors.Wrap(err, "open the files of the kernel")
	}
	info, err := files.Meminfo()
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of the machine")
	}
	if info.MemTotalBytes == nil {
		return 0, errors.New("the kernel does not state the memory of the machine")
	}
	return int64(*info.MemTotalBytes), nil
}
