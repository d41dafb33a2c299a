package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Config sets up a Node.
type Config struct {
	ID     ID
	Timing Timing
	// Initial is the first configuration of a new group. It is used only when
	// the storage is empty and names ID as a voter; every voter that bootstraps
	// must be given the same one. A node with empty storage and without it knows
	// no configuration: it never campaigns, and waits for a leader to reach it.
	Initial Configuration
	// Rand draws the election timeouts.
	Rand *rand.Rand
	// Trailing is the number of entries kept in memory behind a snapshot, so
	// that a follower which is a little late needs no snapshot.
	Trailing uint64
}

// leaseShare is the largest part of ElectionMin that a lease may take. The rest
// is the margin for clocks that run at different rates.
const leaseShare = 0.9

// DefaultTiming suits voters a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   100 * time.Millisecond,
		ElectionMin: time.Second,
		Lease:       800 * time.Millisecond,
	}
}

// check reports the first fault of the configuration.
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
	case t.Lease <= 0 || float64(t.Lease) > leaseShare*float64(t.ElectionMin):
		return errors.Newf("lease %v must be positive and at most %v of the election minimum %v",
			t.Lease, leaseShare, t.ElectionMin)
	}
	return c.Initial.check()
}
