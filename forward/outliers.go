package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/loadshare"
	"celeryport/outlier"
	"celeryport/verdict"
)

// detector returns the outlier detector of a service. The lock must be held.
func (f *fleet) detector(service string) *outlier.Detector {
	d := f.outliers[service]
	if d == nil {
		d = outlier.NewDetector()
		f.outliers[service] = d
	}
	return d
}

// judge updates the verdicts about the nodes of a service, whose loads are given. The lock must be held.
func (f *fleet) judge(now time.Time, service string, nodes []*node, doubts []int) {
	any := false
	for i, n := range nodes {
		n.verdict = outlier.Use
		any = any || doubts[i] > 0
	}
	if !any {
		return
	}
	members := make([]outlier.Member, len(nodes))
	for i, n := range nodes {
		members[i] = outlier.Member{Upstream: n.key, Doubts: doubts[i]}
	}
	d := f.detector(service)
	d.SetFleet(outlier.Fleet{Instance: uint64(loadshare.KeyOf(f.options.Process.Name)), Instances: len(f.options.Plane.View().Instances)})
	verdicts, began := d.Judge(now, members)
	for i, n := range nodes {
		n.verdict = verdicts[i]
	}
	for _, e := range began {
		for i, n := range nodes {
			if n.key == e.Upstream {
				f.logEjected(n, doubts[i], e.For)
			}
		}
	}
}

// mayTry reports whether a call can be sent again if its next send fails, so that it may try an upstream that has
// failed others.
func (x *exchange) mayTry(now time.Time) bool { return x.mayMove() && !x.isLastSend(now) }

// recordOutcome records how a send ended as evidence for or against its upstream. Sends whose connection ended are
// recorded when it is known whether the upstream has ended.
func (s *sending) recordOutcome(o *outcome) {
	x, end := s.x, s.end()
	end.Minor = o.verdict == verdict.NotRun
	switch {
	case o.helper != nil:
		x.server.fleet.recordHelperFailure(o.helper, s.prompt(), o.verdict == verdict.NotRun)
	case o.err == nil, errors.Is(o.err, errOwnFailure) && o.status < http.StatusInternalServerError:
		end.Minor = o.err != nil
		x.server.fleet.recordSuccess(s.node, end)
		x.server.fleet.recordHelped(s.work, s.prompt())
	case o.otherAtFault, o.announced, errors.IsAny(o.err, errWrongIncarnation, errUncheckedEnd): // shows nothing about the upstream
	case s.trickled(o.err):
		x.server.fleet.recordFailures(s.node, end)
	case errors.IsAny(o.err, errSilent, errMoved), s.endedByPeer(o.err), isTimeout(o.err):
	case o.status == http.StatusGatewayTimeout && outlier.OutOfTime(s.sentAt, time.Now(), x.deadline):
	case x.writer.Failure() != nil: // the caller failed
	default:
		x.server.fleet.recordFailures(s.node, end)
	}
}

// end returns the end of the send as package outlier describes it.
func (s *sending) end() outlier.Outcome {
	return outlier.Outcome{Upstream: s.node.key, Class: s.x.route.Name, Request: s.x.fingerprint, SentAt: s.sentAt}
}

// recordOverdue records, once for a send, that its answer has not begun in time.
func (s *sending) recordOverdue() {
	if !s.failing {
		s.failing = true
		s.x.server.fleet.recordFailure(s.node)
		s.x.server.fleet.recordFailures(s.node, s.end())
	}
}

// recordBegun records that the answer of the send has begun, which may have been overdue.
func (s *sending) recordBegun() {
	if !s.failing {
		return
	}
	f := s.x.server.fleet
	f.mu.Lock()
	restored := f.detector(s.node.service).Began(time.Now(), s.end())
	f.mu.Unlock()
	f.announceRestored(s.node, restored)
}

// recordStall records, once for a send, that its stream stopped for longer than its caller waits. It counts less than a
// failure: a sound engine may be silent for a moment, or give the memory of a stream to others.
func (s *sending) recordStall() {
	if !s.stalled {
		s.stalled = true
		end := s.end()
		end.Minor = true
		s.x.server.fleet.recordFailures(s.node, end)
	}
}

// recordSuccess records a send that its upstream answered.
func (f *fleet) recordSuccess(n *node, o outlier.Outcome) {
	f.mu.Lock()
	restored := f.detector(n.service).Succeeded(time.Now(), o)
	f.mu.Unlock()
	f.announceRestored(n, restored)
}

// announceRestored logs and reports that a node gets calls again.
func (f *fleet) announceRestored(n *node, restored bool) {
	if restored {
		f.options.Metrics.OutlierEjected(n.service, false)
		eventOutlierRestored.Log(f.options.Log, event.Fields{"upstream": n.name, "address": n.address})
		f.notifyChanged()
	}
}

// recordFailures records sends that an upstream failed, unless the paths of this instance may have failed them.
func (f *fleet) recordFailures(n *node, ends ...outlier.Outcome) {
	now := time.Now()
	if len(ends) == 0 || f.paths.Doubtful(now, n.service) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range ends {
		if ejected := f.detector(n.service).Failed(now, ends[i]); ejected > 0 {
			f.logEjected(n, f.loadOf(now, n).Doubts, ejected)
		}
	}
	f.notifyChanged()
}

// failuresOf returns the broken sends that an upstream which has not ended failed. A connection that was
// idle before may end at any time; it limits the idle time of others (keepAlive) and is no evidence.
func failuresOf(n *node, broken []brokenSend) []outlier.Outcome {
	var ends []outlier.Outcome
	for i := range broken {
		if b := &broken[i]; !b.silent && (b.unused || b.phase != phaseUnanswered) {
			ends = append(ends, outlier.Outcome{Upstream: n.key, Class: b.route, Request: b.request, SentAt: b.sentAt})
		}
	}
	return ends
}

// forgetFailures drops what is known against the upstreams of a service, because the paths to them failed.
func (f *fleet) forgetFailures(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector(service).Forget()
	f.helpingAt(service).Forget()
}

// doubts returns by how much this instance doubts a node, in halves of a doubt. The lock must be held.
func (n *node) doubts(now time.Time) int {
	if n.detector == nil {
		return 0
	}
	return n.detector.Doubts(now, n.key)
}

// ejected reports whether a node gets no calls of this instance because it fails them. The lock must be held.
func (n *node) ejected(now time.Time) bool {
	return n.detector != nil && n.detector.Ejected(now, n.key)
}

// beginOutlierProbe makes a send the probe of its lead if that is ejected and has no other. The lock must be held.
func (w *work) beginOutlierProbe(now time.Time) {
	if n := w.lead; n.detector != nil {
		w.probe = n.detector.BeginProbe(now, n.key)
	}
}

// endOutlierProbe ends the probe. The lock must be held.
func (w *work) endOutlierProbe() {
	if w.probe {
		w.probe = false
		w.lead.detector.EndProbe(w.lead.key)
	}
}

// logEjected logs that a node gets no calls for a while because it fails them. doubts are those of
// all instances, in halves.
func (f *fleet) logEjected(n *node, doubts int, wait time.Duration) {
	f.options.Metrics.OutlierEjected(n.service, true)
	eventOutlierEjected.Log(f.options.Log, event.Fields{
		"upstream": n.name, "address": n.address, "doubts": doubts, "for_ms": wait.Milliseconds(),
	})
}
