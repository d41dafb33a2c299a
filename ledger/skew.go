package ledger

import "time"

// maxClockSkew is the largest accepted difference between the clock of an instance
// and that of the voter that receives its copy.
const maxClockSkew = time.Minute

// correctClock replaces the time of a copy by that of the receiver if they differ
// by more than maxClockSkew. A clock that is days ahead would otherwise place
// growth outside all report windows, and the counters of other instances would
// appear old enough to be dropped.
func (c *Copy) correctClock(now time.Time) (corrected bool) {
	if c.At.Sub(now).Abs() <= maxClockSkew {
		return false
	}
	c.At = now
	if c.Started.After(now) {
		c.Started = now
	}
	return true
}
