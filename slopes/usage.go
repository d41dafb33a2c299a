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

// loadScale is the fixed point of the kernel's load averages.
const loadScale = 1 << 16

// loadAverage returns the machine's load average of the last minute.
func loadAverage() float64 {
	var s unix.Sysinfo_t
	if unix.Sysinfo(&s) != nil {
		return 0
	}
	return float64(s.Loads[0]) / loadScale
}

// heapBytes returns the live heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // what the first one left to finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
