package recovery

import (
	"net/netip"
	"time"

	"celeryport/loadshare"
)

const (
	// listenTime is how long after the list of instances last grew, and after the first report,
	// a view counts as complete without further evidence: each instance has then sent two full
	// reports, so one may be lost. Until the first report the others may not know this instance.
	listenTime = 2 * loadshare.FullInterval
	// zoneListenTime is how long after the first report of its zone an instance has received a
	// full report of each other instance of the zone.
	zoneListenTime = loadshare.FullInterval + 50*time.Millisecond
	// settleTime is how long the list of instances must not have grown before the reports received
	// are compared with it. After a loss of all processes the list is empty first and grows as
	// instances register, so it is short while it is young.
	settleTime = loadshare.FullInterval
	// maxIncomplete bounds how long after the list arrived a view is incomplete. A list that keeps
	// growing, as during a rolling start, must not keep short prompts off the packing for longer.
	maxIncomplete = 4 * time.Second
	// recoveryTime is how long after the list arrived the effects of lost processes last: until
	// the view is complete, and two polls of the engines later.
	recoveryTime = maxIncomplete + 2*time.Second
	// peerFraction is the fraction of the listed instances of the own zone whose full reports
	// complete a view; some instances listed may be dead.
	peerFraction = 0.9
	// maxPause is the time without any activity after which an instance was frozen: the reports
	// that it holds have expired.
	maxPause = loadshare.ReportTTL
)

const (
	// maxLoadsWait bounds how long a long prompt waits for the loads of the instances: most of
	// them report within it.
	maxLoadsWait = 300 * time.Millisecond
	// loadsWaitFraction is the part of an objective that such a wait may take, one in so many.
	loadsWaitFraction = 4
)

// MaxLoadsWait returns how long a long prompt with the given objective waits for the loads of the
// instances before it is placed without them.
func MaxLoadsWait(objective time.Duration) time.Duration {
	return min(maxLoadsWait, objective/loadsWaitFraction)
}

// Listed is what the list of live instances says about the other instances.
type Listed struct {
	Peers []netip.AddrPort // other instances of the own availability zone
	Zones int              // other availability zones
}

// size returns the number of sources from which reports are expected.
func (l Listed) size() int { return len(l.Peers) + l.Zones }

// View records whether an instance has received the loads that the other instances cause. It is not
// safe for concurrent use.
type View struct {
	startedAt time.Time
	listedAt  time.Time // when the list of instances arrived; zero before
	grownAt   time.Time // when the list last grew
	dataAt    time.Time // arrival of the first full report
	peerAt    time.Time // arrival of the first full report of the own zone
	activeAt  time.Time // last call of Tick
	size      int       // largest size of the list so far
	peers     map[netip.AddrPort]struct{}
	zones     map[loadshare.Key]struct{}
	complete  bool
}

// NewView returns the view of an instance that has just started.
func NewView(now time.Time) *View {
	v := &View{}
	v.restart(now)
	return v
}

func (v *View) restart(now time.Time) {
	*v = View{startedAt: now, peers: map[netip.AddrPort]struct{}{}, zones: map[loadshare.Key]struct{}{}}
}

// RecordReport records a report of an instance of the own zone. Only full reports count, because
// the others name changes since a full report that this instance has not received.
func (v *View) RecordReport(now time.Time, from netip.AddrPort, full bool) {
	if !full {
		return
	}
	v.dataAt, v.peerAt = firstOf(v.dataAt, now), firstOf(v.peerAt, now)
	if !v.complete {
		v.peers[from] = struct{}{}
	}
}

// firstOf returns the time of the first event, given that of the one recorded before, if any.
func firstOf(recorded, now time.Time) time.Time {
	if recorded.IsZero() {
		return now
	}
	return recorded
}

// RecordZone records a report of the loads of another zone.
func (v *View) RecordZone(now time.Time, zone loadshare.Key, full bool) {
	if full && !v.complete {
		v.dataAt = firstOf(v.dataAt, now)
		v.zones[zone] = struct{}{}
	}
}

// Tick is called at least once per loadshare.FullInterval. A longer gap shows that the process was
// frozen; its view then starts anew.
func (v *View) Tick(now time.Time) {
	if !v.activeAt.IsZero() && now.Sub(v.activeAt) > maxPause {
		v.restart(now)
	}
	v.activeAt = now
}

// Observe records the current list of instances. known is false while this instance has not
// received one.
func (v *View) Observe(now time.Time, listed Listed, known bool) {
	if v.complete || !known {
		return
	}
	if v.listedAt.IsZero() {
		v.listedAt, v.grownAt = now, now
	}
	if listed.size() > v.size {
		v.grownAt, v.size = now, listed.size()
	}
}

// AwaitsList reports whether a long prompt that began at the given time should wait for the list
// of instances, without which no arbiter can be asked.
func (v *View) AwaitsList(now, began time.Time, objective time.Duration) bool {
	return v.listedAt.IsZero() && now.Sub(v.startedAt) < maxIncomplete && now.Sub(began) < MaxLoadsWait(objective)
}

// RecoveringUntil returns until when the effects of lost processes last. The last result is false
// while this is not known, because the list of instances has not arrived.
func (v *View) RecoveringUntil() (time.Time, bool) {
	return v.listedAt.Add(recoveryTime), !v.listedAt.IsZero()
}

// Complete reports whether the view is complete. A complete view stays so until the process
// is frozen.
func (v *View) Complete(now time.Time, listed Listed) bool {
	if !v.complete && v.sufficient(now, listed) {
		v.complete = true
		v.peers, v.zones = nil, nil
	}
	return v.complete
}

func (v *View) sufficient(now time.Time, listed Listed) bool {
	switch {
	case v.listedAt.IsZero():
		return false // the others have nobody to send their reports to yet
	case now.Sub(v.listedAt) >= maxIncomplete:
		return true
	case listed.size() > v.size:
		return false
	case now.Sub(v.grownAt) >= listenTime && (listed.size() == 0 || !v.dataAt.IsZero() && now.Sub(v.dataAt) >= listenTime):
		return true
	case now.Sub(v.grownAt) < settleTime || listed.size() == 0:
		return false
	}
	return len(v.zones) >= listed.Zones && float64(v.countReported(listed)) >= peerFraction*float64(len(listed.Peers))
}

// ZoneKnown reports whether this instance knows the loads of its own zone well enough to report
// them to the other zones: it has listened for a full report of each instance since the first
// one arrived. The others do not report to it before they know of it.
func (v *View) ZoneKnown(now time.Time, listed Listed) bool {
	switch {
	case v.listedAt.IsZero():
		return false
	case now.Sub(v.listedAt) >= maxIncomplete || len(listed.Peers) == 0:
		return true
	}
	return !v.peerAt.IsZero() && now.Sub(v.peerAt) >= zoneListenTime
}

// countReported counts the listed instances of the own zone that sent a full report.
func (v *View) countReported(listed Listed) int {
	count := 0
	for _, peer := range listed.Peers {
		if _, reported := v.peers[peer]; reported {
			count++
		}
	}
	return count
}
