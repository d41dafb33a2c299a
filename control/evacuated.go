package control

import (
	"time"

	"celeryport/evacuation"
	"celeryport/event"
)

// newestEvacuated returns the latest evacuated zones known here, from the log or a leader.
func (c *core) newestEvacuated() *evacuation.List {
	if c.group == nil {
		return c.evacuated
	}
	return evacuation.Newest(c.evacuated, c.group.machine.Evacuated())
}

// evacuatedAfter returns the evacuated zones, nil if the sender of the sync has the current
// version.
func (c *core) evacuatedAfter(r *syncRequest) *evacuation.List {
	newest := c.newestEvacuated()
	if evacuation.VersionOf(newest) <= r.Evacuated {
		return nil
	}
	return newest
}

// applyEvacuated replaces the evacuated zones, unless a delayed response brings an older
// version.
func (c *core) applyEvacuated(now time.Time, list *evacuation.List) {
	if evacuation.VersionOf(list) <= evacuation.VersionOf(c.evacuated) {
		return
	}
	for _, zone := range c.evacuated.Names() {
		if !list.Covers(zone) {
			c.restoredAt[zone] = now
		}
	}
	c.evacuated = list
	c.views.dirty()
	eventEvacuated.Log(c.log, event.Fields{"zones": list.Names(), "version": list.Version})
}
