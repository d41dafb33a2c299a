package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Config configures a Node.
type Config struct {
	ID     ID
	Timing Timing
	// Initial is the first configuration of a new group. It is used only when the
	// storage is empty and Initial lists ID as a voter. All voters that bootstrap
	// the group must be given the same value. A node with empty storage and no
	// Initial has no configuration: it never campaigns, and waits until a leader
	// contacts it.
	Initial Configuration
	// Rand is the source of randomness for election timeouts.
	Rand *rand.Rand
	// Trailing is the number of entries kept in memory after a snapshot covers
	// them, so that a slightly slow follower does not need the snapshot.
	Trailing uint64
}

// maxLeaseFraction is the maximum ratio of Lease to ElectionMin. The remainder
// is the margin for clocks that run at different rates.
const maxLeaseFraction = 0.9

// DefaultTiming returns intervals suited to voters with a few milliseconds of
// network latency between them.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   100 * time.Millisecond,
		ElectionMin: time.Second,
		Lease:       800 * time.Millisecond,
	}
}

// check returns an error for the first invalid field.
func (c *Config) check() error {
	t := c.Timing
	switch {
	case c.ID == "":
		return errors.New("a node needs an ID")
	case c.Rand == nil:
		return errors.New("a node needs a source of randomness")
	case t.Heartbeat <= 0 || 2*t.Heartbeat > t.ElectionMin:
		return errors.Newf("heartbeat %v must be positive and at most half of the election minimum %v",
			t.Heartbeat, t.ElectionMin)
	case t.Lease <= 0 || float64(t.Lease) > maxLeaseFraction*float64(t.ElectionMin):
		return errors.Newf("lease %v must be positive and at most %v of the election minimum %v",
			t.Lease, maxLeaseFraction, t.ElectionMin)
	}
	return c.Initial.check()
}
