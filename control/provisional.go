package control

import (
	"time"

	"celeryport/event"
)

// provisional is what an instance that does not lead tells one that no leader has
// taken in yet: the newest settings that it has applied, which were accepted and may
// have been replaced since, and who is in the fleet. While there is no leader, serving
// by them is better than serving nobody; the first leader that is found brings the
// newest, and revisions only ever grow.
type provisional struct {
	Revision uint64      `json:"revision"`
	Text     []byte      `json:"text,omitempty"` // empty for an instance that has settings
	Fleet    fleetAnswer `json:"fleet,omitzero"` // empty for one that knows as many upstreams
}

// provisionalFor answers an instance that no leader has taken in yet; nil if nothing is
// known here that it lacks. A voter that has lost its disk gets settings from another
// one and answers a moment before it has the fleet: an instance that asked it alone would
// know no engine until there is a leader. So it asks on while others know more.
func (c *core) provisionalFor(now time.Time, r *syncRequest) *provisional {
	if !r.Bare && !r.Seeking {
		return nil
	}
	p := &provisional{}
	if fleet := c.fleetToTell(now); len(fleet.Upstreams) > r.Known {
		p.Fleet = fleet
	}
	if r.Bare {
		p.Revision, p.Text = c.newestText()
	}
	if len(p.Text) == 0 && len(p.Fleet.Upstreams) == 0 || r.Bare && len(p.Text) == 0 {
		return nil
	}
	return p
}

// newestText returns the newest settings that are known here, empty if there are none.
func (c *core) newestText() (uint64, []byte) {
	switch {
	case c.group != nil && c.group.machine.Current().Number > c.installed.revision():
		return c.group.machine.Current().Number, c.group.machine.Text()
	case c.installed.tree != nil:
		return c.installed.revision(), c.installed.text
	default:
		return 0, nil
	}
}

// takeProvisional installs provisional settings, unless there are some already, and
// takes in the fleet, unless a leader has told it.
func (c *core) takeProvisional(now time.Time, p *provisional) {
	if p == nil || c.accepted {
		return
	}
	if c.installed.tree == nil && len(p.Text) > 0 {
		if err := c.installed.install(p.Revision, p.Text); err != nil {
			c.noteInstallFailed(p.Revision, err)
			return
		}
		eventProvisional.Log(c.log, event.Fields{"revision": p.Revision, "upstreams": len(p.Fleet.Upstreams)})
	}
	c.takeRemembered(now, &p.Fleet.remembered)
}
