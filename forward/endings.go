package forward

import (
	"time"

	"celeryport/control"
	"celeryport/endings"
	"celeryport/loadshare"
	"celeryport/upstream"
)

// observeEndings records the engines that terminated since the last observation, as far as it
// shows in the view: leaves, changed incarnations and engines that are silent or can't be reached.
func (f *fleet) observeEndings(now time.Time, view *control.View) {
	if view == nil || view.Tree == nil || view.Tree.Forwarding == nil || view.Upstreams == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range view.Tree.Forwarding.Engines() {
		history := f.endings[service]
		if history == nil {
			history = endings.NewHistory()
			f.endings[service] = history
		}
		serving := view.Upstreams.Serving(service)
		ages := make([]time.Duration, 0, len(serving))
		for _, at := range serving {
			f.node(&view.Upstreams.Upstreams[at]) // register all nodes before superseded looks up addresses
		}
		for _, at := range serving {
			u := &view.Upstreams.Upstreams[at]
			n := f.node(u)
			switch {
			case n.replaced || n.leaves(u) || f.superseded(n):
				history.Record(now, n.key)
			case n.suspicion.failures > 0 && f.paths.Doubtful(now, service):
				// not known: this instance's own paths may have failed
			case f.silent(now, u) || n.suspicion.failures > 0 || f.othersSuspect(now, n):
				history.Suspect(now, n.key)
			default:
				history.Clear(n.key)
				ages = append(ages, now.Sub(u.AnnouncedAt))
			}
		}
		history.Observe(now, ages)
		f.options.Metrics.EndRate(service, history.Rate(now))
	}
}

// leaves reports whether a node leaves according to its announcement or to one of its answers. The
// lock must be held.
func (n *node) leaves(u *upstream.Upstream) bool {
	return u.Announcement.Leaving || !n.leavingAt.IsZero()
}

// superseded reports whether another upstream was announced at a node's address later. The lock
// must be held.
func (f *fleet) superseded(n *node) bool {
	latest := f.byAddress[n.address]
	return latest != nil && latest != n
}

// othersSuspect reports whether enough other instances failed to reach a node to take it for
// terminated. A single one may be cut off from it. The lock must be held.
func (f *fleet) othersSuspect(now time.Time, n *node) bool {
	return f.board.Load(now, n.key).Add(f.zones.Load(now, n.key)).Suspicions >= suspicionQuorum
}

// recordEnding records that the process of a node has ended. The lock must be held.
func (f *fleet) recordEnding(now time.Time, n *node) {
	if history := f.endings[n.service]; history != nil {
		history.Record(now, n.key)
	}
}

// endRate returns the recent terminations per engine-second of a service's engines. The lock must
// be held.
func (f *fleet) endRate(now time.Time, service string) float64 {
	if history := f.endings[service]; history != nil {
		return history.Rate(now)
	}
	return 0
}

// frailty decides which nodes of a service are likely to terminate soon.
type frailty struct {
	fleet    *fleet
	now      time.Time
	delay    time.Duration // of announcements
	coldTime time.Duration // after a start, 0 if not configured
}

// frailty returns the decision for a service. The lock must be held.
func (f *fleet) frailty(now time.Time, service string) frailty {
	decision := frailty{fleet: f, now: now}
	if history := f.endings[service]; history != nil {
		decision.delay = history.Delay(now)
	}
	view := f.options.Plane.View()
	if view.Tree == nil || view.Tree.Forwarding == nil {
		return decision
	}
	if found := view.Tree.Forwarding.Service(service); found != nil {
		decision.coldTime = found.ColdTime
	}
	return decision
}

// of reports whether a node with a known load is likely to terminate soon, and records since when
// other instances fail to reach it. The lock of the fleet must be held.
func (d *frailty) of(n *node, u *upstream.Upstream, load *loadshare.Load) bool {
	switch {
	case load.Suspicions == 0:
		n.doubtedAt = time.Time{}
	case n.doubtedAt.IsZero():
		n.doubtedAt = d.now
	}
	condition := endings.Condition{
		Leaving:   n.leaves(u) || u.Evacuated,
		Suspected: n.suspicion.failures > 0 || load.Suspicions >= suspicionQuorum,
		DoubtedAt: n.doubtedAt,
		Cold:      n.cold.active(d.now, d.coldTime),
		Delay:     d.delay,
		StartedAt: n.startedAt,
		ColdTime:  d.coldTime,
	}
	if d.now.Sub(d.fleet.startedAt) >= startupGrace {
		condition.LastSignAt = later(u.AnnouncedAt, later(n.answered, n.report.answeredAt))
	}
	return condition.Frail(d.now)
}
