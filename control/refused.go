package control

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"celeryport/event"
	"celeryport/upstream"
)

// refusedAnnouncements counts what was announced and names no upstream to use.
type refusedAnnouncements struct {
	count  atomic.Uint64
	logged rate.Sometimes
}

// refusedLogInterval bounds the lines about refused announcements: a program that
// writes nonsense may do so many times a second.
const refusedLogInterval = time.Second

// RefuseAnnouncement notes that something was announced that names no upstream.
func (n *Node) RefuseAnnouncement(name string, cause error) {
	total := n.refused.count.Add(1)
	n.refused.logged.Do(func() {
		eventAnnouncementRefused.Log(n.log, event.Fields{"upstream": name, "error": cause.Error(), "refused": total})
	})
}

// RefusedAnnouncements returns how many announcements named no upstream to use.
func (n *Node) RefusedAnnouncements() uint64 { return n.refused.count.Load() }

// checkTargets refuses an upstream of services that the settings don't name. An
// engine's record would be replaced by one under its name that nobody can use, and it
// would get no calls until it is heard again.
func (n *Node) checkTargets(a *upstream.Announcement) error {
	view := n.View()
	if view.Tree == nil || view.Tree.Forwarding == nil {
		return nil // nothing is known yet to check by
	}
	for _, target := range a.Targets {
		if view.Tree.Forwarding.Service(target) == nil {
			return errors.Newf("the settings name no service %s", target)
		}
	}
	return nil
}
