package attachment

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reviewInterval is how often an attached instance looks whether the first voter in
	// its order would answer it again.
	reviewInterval = 2 * time.Second
	// reviewPause is how much longer it leaves that voter alone after it did not answer:
	// each try delays the instance's own sync.
	reviewPause = 6 * time.Second
	// probeInterval is how often one whose voter hears no leader asks another voter. It is
	// short against the time that a change may take to be in force, and long enough that
	// the questions of a whole fleet leave the voters time to elect a leader.
	probeInterval = time.Second
)

// Choice decides which voter an instance asks, and when it looks for another one. It is
// not safe for concurrent use.
type Choice struct {
	detached   bool // the voter of this instance hears no leader
	reviewedAt time.Time
	probedAt   time.Time
	probed     string // voter that was asked last while detached
	failed     string // voter that did not answer a sync
}

// Detached reports whether the voter of this instance hears no leader.
func (c *Choice) Detached() bool { return c.detached }

// SetDetached takes in what the voter says of that.
func (c *Choice) SetDetached(detached bool) { c.detached = detached }

// Failed notes that a voter did not answer a sync.
func (c *Choice) Failed(voter string) { c.failed = voter }

// LastFailed returns the voter that did not answer a sync last.
func (c *Choice) LastFailed() string { return c.failed }

// Attached notes that the instance of that name goes on with another voter. The name
// spreads the later looks of instances that started together.
func (c *Choice) Attached(now time.Time, name, voter string) {
	c.probed = ""
	if c.failed == voter {
		c.failed = ""
	}
	c.reviewedAt = now.Add(time.Duration(xxhash.Sum64String(name) % uint64(reviewInterval)))
}

// Unanswered notes that a voter did not answer the question whether it hears a leader.
func (c *Choice) Unanswered(now time.Time) { c.reviewedAt = now.Add(reviewPause) }

// Next returns the voter to ask whether it hears a leader, of the voters in the order of
// this instance; empty if none is due. While its own voter hears none, that is one after
// the other, else the first.
func (c *Choice) Next(now time.Time, own string, order []string) string {
	var next string
	switch {
	case len(order) == 0:
		return ""
	case c.detached && now.Sub(c.probedAt) >= probeInterval:
		c.probedAt = now
		next = after(order, own, c.probed)
		c.probed = next
	case !c.detached && now.Sub(c.reviewedAt) >= reviewInterval:
		c.reviewedAt = now
		next = order[0]
	}
	if next == own {
		return ""
	}
	return next
}

// after returns the address that follows last in a list, but for one address.
func after(list []string, own, last string) string {
	at := -1
	for n, address := range list {
		if address == last {
			at = n
		}
	}
	for range list {
		at = (at + 1) % len(list)
		if list[at] != own {
			return list[at]
		}
	}
	return own
}
