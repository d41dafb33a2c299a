package forward

import (
	"net/netip"
	"time"

	"celeryport/loadshare"
)

// loadOf returns the load of all instances on a node. The lock must be held.
func (f *fleet) loadOf(now time.Time, n *node) loadshare.Load {
	others := f.othersLoad(now, n)
	load := n.ownLoad(now).Add(others).Add(n.report.residual.Unconfirmed(now, others))
	kept := n.granted[:0]
	for _, g := range n.granted {
		if left, counts := g.remainingLoad(now); counts {
			kept = append(kept, g)
			load = load.Add(left)
		}
	}
	n.granted = kept
	return load
}

// othersLoad returns the load of the other instances on a node. The lock must be held.
func (f *fleet) othersLoad(now time.Time, n *node) loadshare.Load {
	return f.board.Load(now, n.key).Add(f.zones.Load(now, n.key))
}

// loadsToReport returns the loads caused by this instance and its evidence about upstreams, as
// far as the other instances need it.
func (f *fleet) loadsToReport(now time.Time) map[loadshare.Key]loadshare.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := map[loadshare.Key]loadshare.Load{}
	for _, n := range f.nodes {
		load := n.ownLoad(now)
		if f.paths.Doubtful(now, n.service) {
			n.withholdFailures(now, &load)
		}
		if load.Pace > 0 && !f.needsPace(now, n) {
			load.Pace = 0
		}
		if load != (loadshare.Load{}) {
			loads[n.key] = load
		}
	}
	return loads
}

// withholdFailures removes the failures from a load that may be due to this instance's own paths: the
// other instances would avoid a node that they reach. What the node stated itself remains. The lock
// must be held.
func (n *node) withholdFailures(now time.Time, load *loadshare.Load) {
	load.Suspicions, load.Doubts = 0, 0
	if !n.replaced && n.unavailable(now) == nil {
		load.Failing = 0
	}
}

// needsPace reports whether the other instances need to know that an upstream answered a poll of
// this instance: it is slow, its announcements have stopped or are about to, or an instance
// suspects it. If every answered poll was reported, each instance would receive a report of each
// upstream several times a second. The lock must be held.
func (f *fleet) needsPace(now time.Time, n *node) bool {
	if n.report.pace > normalPace || now.After(n.freshUntil.Add(-silenceNotice)) {
		return true
	}
	others := f.board.Load(now, n.key).Add(f.zones.Load(now, n.key))
	return others.Suspicions > 0 || others.Failing > 0
}

// silenceNotice is how long before an upstream counts as silent its pollers begin to report that
// it answers: a poll and two reports.
const silenceNotice = time.Second

// applyReport applies a load report of another instance of the own zone or of another zone.
func (f *fleet) applyReport(now time.Time, from netip.AddrPort, r *loadshare.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Zone != 0 {
		if f.zones.Accept(now, r) {
			f.view.RecordZone(now, r.Zone, r.Full)
		}
		return
	}
	f.peers[from] = now
	f.view.RecordReport(now, from, r.Full)
	if f.board.Accept(now, r) && len(r.Loads) > 0 {
		wake(f.zoneLoadsChanged)
	}
}

// zoneLoads returns the loads caused by all instances of the own zone.
func (f *fleet) zoneLoads(now time.Time) map[loadshare.Key]loadshare.Load {
	total := f.loadsToReport(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, load := range f.board.Loads(now) {
		total[key] = total[key].Add(load)
	}
	return total
}
