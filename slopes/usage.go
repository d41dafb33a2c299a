package slopes

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// usage is what this process has used so far.
type usage struct {
	at    time.Time
	cpu   time.Duration
	calls uint64
	bytes uint64
}

// cpuTime returns the processor time of the process, system calls included.
func cpuTime() time.Duration {
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heapBytes returns the live heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // what the first one left to finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
