package forward

import (
	"sync"
	"time"

	"celeryport/control"
	"celeryport/event"
	"celeryport/quarantine"
	"celeryport/verdict"
)

// answeredKept is how many requests that were answered last are remembered.
const answeredKept = 4096

// ownLimits hold for the evidence of this instance alone. It rejects by it until control
// has decided by the evidence of all, so that a request is not let through for as long as
// there is no leader.
var ownLimits = quarantine.Limits{
	Started:   quarantine.FleetLimits.Started,
	Any:       quarantine.FleetLimits.Any,
	Suspected: time.Minute,
	Retention: time.Minute,
	Records:   64,
}

// suspects knows the requests that crash the upstreams which run them.
type suspects struct {
	options *Options

	mu       sync.Mutex
	own      quarantine.Registry
	taken    uint64 // position in own
	answered *quarantine.Recent
}

func newSuspects(options *Options) *suspects {
	return &suspects{options: options, answered: quarantine.NewRecent(answeredKept)}
}

// view returns what control tells.
func (s *suspects) view() *control.View { return s.options.Plane.View() }

// rejects reports whether no upstream may get a request.
func (s *suspects) rejects(now time.Time, request quarantine.Fingerprint) bool {
	if s.view().Quarantine.Contains(request) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.own.Records) == 0 {
		return false
	}
	s.own.Expire(now, s.taken, &ownLimits)
	return s.own.Quarantined(request)
}

// ended takes in that an upstream ended with a request.
func (s *suspects) ended(now time.Time, n *node, request quarantine.Fingerprint, outcome quarantine.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered.Contains(request) {
		return
	}
	s.report(now, quarantine.Evidence{Request: request, Outcome: outcome, Upstream: uint64(n.key)})
}

// served takes in that a request was answered whole.
func (s *suspects) served(now time.Time, request quarantine.Fingerprint) {
	listed := s.view().Quarantine.Contains(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.Add(request)
	if listed || s.own.Known(request) {
		s.report(now, quarantine.Evidence{Request: request, Outcome: quarantine.Answered})
	}
}

// report counts evidence here and hands it to control. The lock must be held.
func (s *suspects) report(now time.Time, e quarantine.Evidence) {
	s.taken++
	s.own.Expire(now, s.taken, &ownLimits)
	s.own.AddEvidence(now, s.taken, &ownLimits, []quarantine.Evidence{e})
	s.options.Plane.ReportEvidence(e)
	eventEvidence.Log(s.options.Log, event.Fields{"request": e.Request.String(), "outcome": e.Outcome.String(), "upstream": e.Upstream})
}

// quarantineRetry is when to come back with a request that is quarantined. It is short against
// the time for which that lasts: a request that only ran beside the cause of the crashes is
// released when the cause is known.
const quarantineRetry = 10 * time.Second

// errQuarantined refuses a request that crashes the upstreams which run it.
func errQuarantined() error {
	return verdict.Refuse(verdict.ReasonQuarantined, quarantineRetry,
		"this request was not run: the upstreams that ran it before crashed")
}
