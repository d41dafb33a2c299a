package routing

import (
	"slices"
	"time"

	"celeryport/upstream"
)

// Expire takes nodes out that have been silent for too long by now. The view may
// be old: if the control goroutine hangs, or this instance is cut off, no newer
// one says that an upstream left. Requests would go on to it for as long as that
// lasts; the time up to which each upstream is fresh bounds it.
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

// nextStale is when the next fresh node turns silent, zero if none does.
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
