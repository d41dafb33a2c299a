package attachment

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reviewInterval is how often an attached instance checks whether its preferred voter
	// answers again.
	reviewInterval = 2 * time.Second
	// reviewPause is the additional delay before that voter is checked again after it did
	// not answer, because each check delays the instance's own sync.
	reviewPause = 6 * time.Second
	// probeInterval is how often an instance whose voter has no contact with a leader probes
	// another voter. It is short compared with the time that a change may take to be in
	// force, and long enough that the probes of a whole fleet leave the voters time to elect
	// a leader.
	probeInterval = time.Second
)

// Choice decides which voter an instance syncs with and when it checks another one. It is
// not safe for concurrent use.
type Choice struct {
	detached   bool // the voter of this instance has no contact with a leader
	reviewedAt time.Time
	probedAt   time.Time
	probed     string // voter that was probed last while detached
	turn       turn
	failed     string // last voter that did not answer a sync; empty once attached to it again
}

// Detached reports whether the voter of this instance has no contact with a leader.
func (c *Choice) Detached() bool { return c.detached }

// RecordContact records that a voter answered a sync, and whether that voter has contact with
// a leader.
func (c *Choice) RecordContact(detached bool) { c.detached, c.turn = detached, turn{} }

// RecordFailure records that a voter did not answer a sync.
func (c *Choice) RecordFailure(voter string) { c.failed = voter }

// LastFailed returns the last voter that did not answer a sync, or an empty string if there
// was none or the instance has since switched back to it.
func (c *Choice) LastFailed() string { return c.failed }

// RecordAttached records that the instance with the given name switched to voter. A hash of
// the name spreads the checks of instances that started at the same time.
func (c *Choice) RecordAttached(now time.Time, name, voter string) {
	c.probed = ""
	if c.failed == voter {
		c.failed = ""
	}
	c.reviewedAt = now.Add(time.Duration(xxhash.Sum64String(name) % uint64(reviewInterval)))
}

// RecordUnanswered records that a voter did not answer whether it has contact with a leader.
func (c *Choice) RecordUnanswered(now time.Time) { c.reviewedAt = now.Add(reviewPause) }

// Next returns the voter to ask whether it has contact with a leader, or an empty string if
// no question is due. order lists the voters in the order of preference of this instance.
// While detached, Next goes through all voters in turn; otherwise it returns the preferred
// one.
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

// after returns the element of list that follows last, skipping own and wrapping around.
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
