package entry

import (
	"celeryport/dispatch"
	"celeryport/event"
)

// reportOutlier logs and counts that an upstream gets no calls any more because it fails them, or that
// it gets calls again.
func (d *driver) reportOutlier(c *dispatch.OutlierChange) {
	if d.options.CountOutlier != nil {
		d.options.CountOutlier(c.Target, c.Ejected)
	}
	fields := event.Fields{"target": c.Target, "upstream": c.Node, "address": c.Address}
	if !c.Ejected {
		eventOutlierRestored.Log(d.options.Log, fields)
		return
	}
	fields["for_ms"] = c.For.Milliseconds()
	eventOutlierEjected.Log(d.options.Log, fields)
}
