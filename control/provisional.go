package control

import (
	"time"

	"celeryport/event"
)

// provisional is what an instance that does not lead tells one that has no
// settings at all: the newest settings that it has applied, which were accepted
// and may have been replaced since, and who is in the fleet. While there is no
// leader, serving by them is better than serving nobody; the first leader that is
// found brings the newest, and revisions only ever grow.
type provisional struct {
	Revision uint64     `json:"revision"`
	Text     []byte     `json:"text"`
	Fleet    remembered `json:"fleet"`
}

// provisionalFor answers an instance without settings; nil if nothing is known
// here.
func (c *core) provisionalFor(r *syncRequest) *provisional {
	if !r.Bare {
		return nil
	}
	p := &provisional{Fleet: rememberedOf(c.node.View())}
	switch {
	case c.group != nil && c.group.machine.Current().Number > c.installed.revision():
		p.Revision, p.Text = c.group.machine.Current().Number, c.group.machine.Text()
	case c.installed.tree != nil:
		p.Revision, p.Text = c.installed.revision(), c.installed.text
	default:
		return nil
	}
	return p
}

// takeProvisional installs provisional settings, unless there are some already.
func (c *core) takeProvisional(now time.Time, p *provisional) {
	if p == nil || c.installed.tree != nil {
		return
	}
	if err := c.installed.install(p.Revision, p.Text); err != nil {
		c.noteInstallFailed(p.Revision, err)
		return
	}
	eventProvisional.Log(c.log, event.Fields{"revision": p.Revision, "upstreams": len(p.Fleet.Upstreams)})
	c.takeRemembered(now, &p.Fleet)
}
