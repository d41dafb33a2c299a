package routing

import (
	"slices"
	"time"

	"celeryport/upstream"
)

// Expire removes nodes that have been silent for too long. The snapshot may be
// old: if the control goroutine hangs or this instance is partitioned, no newer
// snapshot reports that an upstream left. The freshness limit of each upstream
// bounds how long requests are still sent to it.
func (t *Table) Expire(now time.Time) {
	if t.staleAt.IsZero() || !now.After(t.staleAt) {
		return
	}
	for _, n := range t.nodes {
		if n.state == upstream.Fresh && n.staleBy(now) {
			n.state = upstream.Silent
		}
	}
	for _, p := range t.pools {
		p.all = slices.DeleteFunc(p.all, func(n *Node) bool { return n.state != upstream.Fresh })
	}
	t.staleAt = t.nextStale()
	t.Rebuild(now)
}

func (n *Node) staleBy(now time.Time) bool {
	return !n.freshUntil.IsZero() && now.After(n.freshUntil)
}

// nextStale returns when the next fresh node turns silent, or zero if none
// does.
func (t *Table) nextStale() time.Time {
	var next time.Time
	for _, n := range t.nodes {
		if n.state != upstream.Fresh || n.freshUntil.IsZero() {
			continue
		}
		if next.IsZero() || n.freshUntil.Before(next) {
			next = n.freshUntil
		}
	}
	return next
}
