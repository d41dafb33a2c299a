package ledger

import "time"

// mostSkew is how far the clock of an instance may be from that of the voter
// that takes its copy.
const mostSkew = time.Minute

// correctClock puts the time of the receiver in place of one that is far off. A
// clock that runs days ahead would otherwise place growth where no window ends,
// and make all that others counted look old enough to be dropped.
func (c *Copy) correctClock(now time.Time) (corrected bool) {
	if c.At.Sub(now).Abs() <= mostSkew {
		return false
	}
	c.At = now
	if c.Started.After(now) {
		c.Started = now
	}
	return true
}
