package control

import (
	"time"

	"celeryport/event"
)

// provisional is the response of a non-leading instance to one that no leader has accepted
// yet. It contains the latest settings applied here, which were accepted once and may have
// been replaced since, and the known fleet. While there is no leader, serving by them is
// better than not serving; the first leader found sends the latest settings, and revisions
// never decrease.
type provisional struct {
	Revision uint64      `json:"revision"`
	Text     []byte      `json:"text,omitempty"` // empty for an instance that has settings
	Fleet    fleetAnswer `json:"fleet,omitzero"` // empty for an instance that knows at least as many upstreams
}

// provisionalFor returns the provisional response to an instance that no leader has
// accepted yet; nil if nothing known here would help it. An instance with older settings gets
// newer ones only while no leader is known here that it could ask. A voter that has lost its disk
// gets settings from another voter slightly before it gets the fleet: an instance that
// asked only that voter would know no engines until there is a leader. Therefore an
// instance continues to ask while other instances know more upstreams.
func (c *core) provisionalFor(now time.Time, r *syncRequest) *provisional {
	if !r.Bare && !r.Seeking {
		return nil
	}
	p := &provisional{}
	if fleet := c.currentFleet(now); len(fleet.Upstreams) > r.Known {
		p.Fleet = fleet
	}
	if revision, text := c.newestText(); r.Bare || revision > r.revision() && c.leaderAddress() == "" {
		p.Revision, p.Text = revision, text
	}
	if len(p.Text) == 0 && len(p.Fleet.Upstreams) == 0 || r.Bare && len(p.Text) == 0 {
		return nil
	}
	return p
}

// newestText returns the latest settings known here, empty if there are none.
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

// applyProvisional installs provisional settings if none are installed, or older ones while
// no leader is known, and adds the fleet. It does nothing once a leader has accepted this
// instance.
func (c *core) applyProvisional(now time.Time, p *provisional) {
	if p == nil || c.accepted {
		return
	}
	newer := p.Revision > c.installed.revision() && c.leaderAddress() == ""
	if len(p.Text) > 0 && (c.installed.tree == nil || newer) {
		if err := c.installed.install(p.Revision, p.Text); err != nil {
			c.logInstallFailed(p.Revision, err)
			return
		}
		eventProvisional.Log(c.log, event.Fields{"revision": p.Revision, "upstreams": len(p.Fleet.Upstreams)})
	}
	c.addRemembered(now, &p.Fleet.remembered)
}
