package forward

import (
	"sync"
	"time"

	"celeryport/control"
	"celeryport/event"
	"celeryport/quarantine"
	"celeryport/verdict"
)

// maxAnswered is how many fingerprints of recently answered requests are kept.
const maxAnswered = 4096

// localLimits apply to the evidence of this instance alone. The instance rejects requests by it
// until control has decided on the evidence of all instances; otherwise such requests would be
// accepted for as long as there is no leader.
var localLimits = quarantine.Limits{
	Started:   quarantine.FleetLimits.Started,
	Any:       quarantine.FleetLimits.Any,
	Suspected: time.Minute,
	Retention: time.Minute,
	Records:   64,
}

// suspects tracks the requests that crash the upstreams which run them.
type suspects struct {
	options *Options

	mu       sync.Mutex
	local    quarantine.Registry
	position uint64 // position in local
	answered *quarantine.Recent
}

func newSuspects(options *Options) *suspects {
	return &suspects{options: options, answered: quarantine.NewRecent(maxAnswered)}
}

// view returns the current view of control.
func (s *suspects) view() *control.View { return s.options.Plane.View() }

// rejects reports whether a request must not be sent to any upstream.
func (s *suspects) rejects(now time.Time, request quarantine.Fingerprint) bool {
	if s.view().Quarantine.Contains(request) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.local.Records) == 0 {
		return false
	}
	s.local.Expire(now, s.position, &localLimits)
	return s.local.Quarantined(request)
}

// recordEnd records that an upstream ended while it had a request in flight. A request that an
// upstream answered recently is not suspected.
func (s *suspects) recordEnd(now time.Time, n *node, request quarantine.Fingerprint, outcome quarantine.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered.Contains(request) {
		return
	}
	s.report(now, quarantine.Evidence{Request: request, Outcome: outcome, Upstream: uint64(n.key)})
}

// recordServed records that a request was answered completely.
func (s *suspects) recordServed(now time.Time, request quarantine.Fingerprint) {
	listed := s.view().Quarantine.Contains(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.Add(request)
	if listed || s.local.Known(request) {
		s.report(now, quarantine.Evidence{Request: request, Outcome: quarantine.Answered})
	}
}

// report counts evidence locally and reports it to control. The lock must be held.
func (s *suspects) report(now time.Time, e quarantine.Evidence) {
	s.position++
	s.local.Expire(now, s.position, &localLimits)
	s.local.AddEvidence(now, s.position, &localLimits, []quarantine.Evidence{e})
	s.options.Plane.ReportEvidence(e)
	eventEvidence.Log(s.options.Log, event.Fields{"request": e.Request.String(), "outcome": e.Outcome.String(), "upstream": e.Upstream})
}

// quarantineRetry is the Retry-After of a quarantined request. It is short compared with the
// duration of a quarantine: a request that merely ran at the same time as the cause of the
// crashes is released when the cause is known.
const quarantineRetry = 10 * time.Second

// errQuarantined returns the refusal of a request that crashes the upstreams which run it.
func errQuarantined() error {
	return verdict.Refuse(verdict.ReasonQuarantined, quarantineRetry,
		"this request was not run: the upstreams that ran it before crashed")
}
