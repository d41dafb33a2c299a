package membership

import "time"

// NextIncarnation returns the incarnation of a process that starts now. It is the start time
// in microseconds, but always above the highest known incarnation. Otherwise, after the wall
// clock was set back, messages of a restarted instance would be taken for late messages of
// its previous process.
func NextIncarnation(now time.Time, known uint64) uint64 {
	return max(uint64(now.UnixMicro()), known+1)
}
