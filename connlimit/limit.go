// Package connlimit bounds the connections that an instance accepts, so that those who connect can't
// take the descriptors that its own connections and files need. A connection over the limit is
// accepted and refused at once: left in the queue of the kernel, its caller would wait without an
// answer.
package connlimit

// Limits are the numbers of connections that an instance accepts at a time, by address; 0: no limit.
type Limits struct {
	Callers   int // at the traffic address
	Control   int // at the control address
	Directory int // at the address that serves the list of addresses
	Probes    int // at each of the addresses for readiness and metrics
}

const (
	// maxOwn is the number of descriptors that are left for files, listeners and connections that are
	// being refused. A process with few descriptors keeps a quarter for that.
	maxOwn  = 256
	ownPart = 4

	// The others are divided into 32 parts. An instance that takes calls leaves six of them for connections
	// to upstreams and other instances, one that takes no calls twelve.
	parts            = 32
	callerParts      = 14
	controlParts     = 4
	directoryParts   = 6
	probeParts       = 1
	onlyControlParts = 18
)

// Source is who states the number of descriptors, as the log names it.
type Source string

// The sources of the number of descriptors.
const (
	SourceNone     Source = "none"
	SourceSettings Source = "settings"
	SourceKernel   Source = "RLIMIT_NOFILE"
)

// Smaller returns the number of descriptors that decides: the smaller one of those that the settings
// and the kernel state, each 0 for none.
func Smaller(stated int, kernel int64) (int, Source) {
	switch {
	case kernel > 0 && (stated <= 0 || kernel < int64(stated)):
		return int(kernel), SourceKernel
	case stated > 0:
		return stated, SourceSettings
	}
	return 0, SourceNone
}

// Divide returns the limits for a process with the given number of descriptors, 0 for unknown, which
// leaves only the limit that an operator set on callers. takesCalls reports whether the process takes
// calls.
func Divide(descriptors, maxCallers int, takesCalls bool) Limits {
	if descriptors <= 0 {
		return Limits{Callers: maxCallers}
	}
	shared := descriptors - min(maxOwn, descriptors/ownPart)
	of := func(part int) int { return max(1, shared*part/parts) }
	if !takesCalls {
		return Limits{Control: of(onlyControlParts), Probes: of(probeParts)}
	}
	l := Limits{Callers: of(callerParts), Control: of(controlParts), Directory: of(directoryParts), Probes: of(probeParts)}
	if maxCallers > 0 {
		l.Callers = min(l.Callers, maxCallers)
	}
	return l
}
