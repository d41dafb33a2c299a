package control

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"celeryport/event"
	"celeryport/upstream"
)

// refusedAnnouncements counts the announcements that name no usable upstream.
type refusedAnnouncements struct {
	count  atomic.Uint64
	logged rate.Sometimes
}

// refusedLogInterval limits the rate of log lines about refused announcements: a faulty
// program may send many a second.
const refusedLogInterval = time.Second

// RefuseAnnouncement counts and logs an announcement that names no usable upstream.
func (n *Node) RefuseAnnouncement(name string, cause error) {
	total := n.refused.count.Add(1)
	n.refused.logged.Do(func() {
		eventAnnouncementRefused.Log(n.log, event.Fields{"upstream": name, "error": cause.Error(), "refused": total})
	})
}

// RefusedAnnouncements returns the number of announcements that named no usable upstream.
func (n *Node) RefusedAnnouncements() uint64 { return n.refused.count.Load() }

// checkTargets rejects an upstream of services that the settings do not name. It could
// replace the record of an engine of the same name, which would then get no requests until
// its next announcement.
func (n *Node) checkTargets(a *upstream.Announcement) error {
	view := n.View()
	if view.Tree == nil || view.Tree.Forwarding == nil {
		return nil // no settings yet to check against
	}
	for _, target := range a.Targets {
		if view.Tree.Forwarding.Service(target) == nil {
			return errors.Newf("the settings name no service %s", target)
		}
	}
	return nil
}
