package forward

import "time"

// coldTime is what is known about how long an upstream accepts requests at a reduced rate only.
type coldTime struct {
	announced  time.Time // end of the cold time according to its announcements
	stated     time.Time // end of the cold time according to its answers
	restoredAt time.Time // as in upstream.Upstream
}

// coldMargin is added to the end of a cold time, which is rounded on its way between instances.
const coldMargin = 300 * time.Millisecond

// active reports whether an upstream is cold. One whose availability zone was evacuated may have
// become cold meanwhile, so it counts as cold until it announces itself, but for presumed at most.
func (c *coldTime) active(now time.Time, presumed time.Duration) bool {
	until := later(c.announced, c.stated).Add(coldMargin)
	return now.Before(until) || !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < presumed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordCold records how long an upstream is still cold according to an answer.
func (f *fleet) recordCold(n *node, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.cold.stated = time.Time{}
	if left > 0 {
		n.cold.stated = time.Now().Add(left)
	}
}

// coldRate returns the request rate that a node accepts from all instances together while it is
// cold, and whether it is. The lock must be held.
func (f *fleet) coldRate(now time.Time, n *node) (float64, bool) {
	view := f.options.Plane.View()
	if view.Tree == nil || view.Tree.Forwarding == nil {
		return 0, false
	}
	service := view.Tree.Forwarding.Service(n.service)
	if service == nil || service.ColdRate <= 0 {
		return 0, false
	}
	return service.ColdRate, n.cold.active(now, service.ColdTime)
}
