package membership

import "time"

// NextIncarnation returns the incarnation of a process that starts now. It is
// the start time in microseconds, and more than any that is known to be used: a
// wall clock that was set back would otherwise make a restarted instance look
// like a late message of its former self.
func NextIncarnation(now time.Time, known uint64) uint64 {
	return max(uint64(now.UnixMicro()), known+1)
}
