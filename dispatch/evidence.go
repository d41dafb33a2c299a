package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryport/outlier"
	"celeryport/quarantine"
	"celeryport/request"
	"celeryport/verdict"
)

// doubtPatience is how long a request that can't be sent again waits for an upstream without
// evidence against it.
const doubtPatience = time.Second

// wary reports whether the job should wait for an upstream without evidence against it.
func wary(now time.Time, r *request.Request) bool {
	return r.NoRepeat && now.Sub(r.Arrival) < doubtPatience
}

// recordAnswer records an answer as evidence for the upstream, or against it if the answer is a
// failure of the upstream.
func (s *Scheduler) recordAnswer(now time.Time, j *job, failed bool) {
	pool := s.table.Pool(j.lane.target)
	node := j.lead().Node()
	node.Health.Success()
	changed := j.probe
	if failed {
		changed = pool.Failed(now, node, outcomeOf(j)) || changed
	} else {
		changed = pool.Succeeded(now, node, outcomeOf(j)) || changed
	}
	if changed {
		s.table.Rebuild(now)
	}
}

// recordFailure records a failure on the node that computed the answer.
func (s *Scheduler) recordFailure(now time.Time, j *job, err *verdict.Error) {
	node := j.lead().Node()
	j.avoid = node
	switch err.Reason {
	case verdict.ReasonCallerLeft, verdict.ReasonDraining, verdict.ReasonQueueFull:
		return
	default:
	}
	switch {
	case len(j.span) > 0: // which of its nodes failed is not known
	case err.Verdict == verdict.NotRun && err.Reason == verdict.ReasonTimeout: // the caller left no time to send it
	case err.Verdict == verdict.NotRun:
		node.Health.Unreachable(now)
		s.table.Rebuild(now)
	case s.table.Pool(j.lane.target).Failed(now, node, outcomeOf(j)):
		s.table.Rebuild(now)
	}
}

// outcomeOf returns the outcome of the job's send. Requests of one organisation are expected to
// fail equally often everywhere.
func outcomeOf(j *job) outlier.Outcome {
	r := j.request
	fingerprint := r.Fingerprint
	if fingerprint == (quarantine.Fingerprint{}) {
		fingerprint.Body = xxhash.Sum64String(r.ID)
	}
	return outlier.Outcome{Class: r.Organisation, Request: fingerprint, SentAt: j.sentAt}
}
