package forward

import (
	"slices"
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
	Parts: quarantine.PartLimits{
		Started:   quarantine.FleetLimits.Parts.Started,
		Ends:      quarantine.FleetLimits.Parts.Ends,
		Settling:  quarantine.FleetLimits.Parts.Settling,
		Any:       quarantine.FleetLimits.Parts.Any,
		Suspected: time.Minute,
		Retention: quarantine.FleetLimits.Parts.Retention,
		Renewal:   time.Minute,
		Records:   64,
	},
}

// clearingInterval is the shortest time between two reports that clear parts of prompts.
const clearingInterval = 100 * time.Millisecond

// suspects tracks the requests and the parts of prompts that crash the upstreams which run them.
type suspects struct {
	options *Options

	mu        sync.Mutex
	local     quarantine.Registry
	probes    quarantine.Probes // by local
	listed    quarantine.Probes // by the list of control
	isolation quarantine.Isolation
	position  uint64 // position in local
	answered  *quarantine.Recent
	cleared   quarantine.RecentParts
	clearedAt time.Time                // when parts were reported as cleared last
	checked   uint64                   // version of the list that was last compared with cleared
	released  map[quarantine.Part]bool // listed parts that upstreams have answered since then; apply without control
}

func newSuspects(options *Options) *suspects {
	return &suspects{options: options, answered: quarantine.NewRecent(maxAnswered)}
}

// view returns the current view of control.
func (s *suspects) view() *control.View { return s.options.Plane.View() }

// rejects reports whether a request must not be sent to any upstream.
func (s *suspects) rejects(now time.Time, request quarantine.Fingerprint, parts []quarantine.Part) bool {
	view := s.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version := view.Quarantine.Version(); version != s.checked {
		s.checked, s.released = version, nil
		s.listed.Observe(now, view.Quarantine)
		s.withdrawCleared(now, view.Quarantine)
	}
	if view.Quarantine.Contains(request) || s.rejectsListed(now, view, request, parts) {
		return true
	}
	if len(s.local.Records) == 0 && len(s.local.Parts.Records) == 0 {
		return false
	}
	s.local.Expire(now, s.position, &localLimits)
	// Parts are told apart by what all instances see; the evidence of one is used only without control.
	return s.local.Quarantined(request) ||
		!view.HasQuorum && s.probes.Rejects(now, &s.local.Parts, request, parts, &localLimits.Parts)
}

// rejectsListed reports whether a request has all parts of a group that control blames. The lock must
// be held.
func (s *suspects) rejectsListed(now time.Time, view *control.View, request quarantine.Fingerprint, parts []quarantine.Part) bool {
	list := view.Quarantine
	if !view.HasQuorum {
		list = list.Without(s.released) // the list of control does not follow the answers
	}
	if !list.ContainsParts(parts) {
		return false
	}
	names := make([]string, len(view.Instances))
	for i := range view.Instances {
		names[i] = view.Instances[i].Name
	}
	turn := quarantine.TurnToProbe(now, s.options.Process.Name, names)
	return s.listed.RejectsListed(now, list, request, parts, turn)
}

// undecided reports whether a part of a prompt is about to be blamed and has not been answered lately.
func (s *suspects) undecided(now time.Time, parts []quarantine.Part) bool {
	list := s.view().Quarantine
	if list.ContainsParts(parts) {
		return false
	}
	watched := list.SuspectedAmong(parts)
	if len(watched) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, suspected := s.cleared.Split(now, watched)
	return len(suspected) > 0
}

// withdrawCleared reports those blamed or watched parts that upstreams have answered recently. The lock
// must be held.
func (s *suspects) withdrawCleared(now time.Time, list *quarantine.List) {
	cleared, _ := s.cleared.Split(now, list.Parts())
	s.clear(now, cleared)
}

// clear reports that parts do not crash upstreams. The lock must be held.
func (s *suspects) clear(now time.Time, parts []quarantine.Part) {
	for len(parts) > 0 {
		n := min(len(parts), quarantine.MaxParts)
		s.report(now, quarantine.Evidence{Outcome: quarantine.Answered, Parts: parts[:n]})
		parts = parts[n:]
	}
}

// recordEnd records that an upstream ended while it had a request in flight. A request that an
// upstream answered recently is not suspected, and neither are parts of such requests.
func (s *suspects) recordEnd(now time.Time, n *node, request quarantine.Fingerprint, parts []quarantine.Part, outcome quarantine.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed.RecordEnd(parts)
	if s.answered.Contains(request) {
		return
	}
	_, suspected := s.cleared.Split(now, parts)
	s.report(now, quarantine.Evidence{
		Request: request, Outcome: outcome, Upstream: uint64(n.key), Parts: suspected, Identity: quarantine.Identify(request, parts),
	})
}

// recordServed records that a request was answered completely.
func (s *suspects) recordServed(now time.Time, request quarantine.Fingerprint, parts []quarantine.Part) {
	listed := s.view().Quarantine.Contains(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.Add(request)
	if listed || s.local.Known(request) {
		s.report(now, quarantine.Evidence{Request: request, Outcome: quarantine.Answered})
	}
	s.recordSound(now, parts)
}

// recordWriting records that an upstream has written the answer to a request for longer than one that
// crashes it would allow.
func (s *suspects) recordWriting(now time.Time, parts []quarantine.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordSound(now, parts)
}

// recordSound records that parts do not crash upstreams, and reports it if they are suspected. The lock
// must be held.
func (s *suspects) recordSound(now time.Time, parts []quarantine.Part) {
	if len(parts) == 0 {
		return
	}
	s.cleared.Add(now, parts)
	s.release(parts)
	if now.Sub(s.clearedAt) < clearingInterval && !slices.ContainsFunc(parts, s.local.Parts.Blamed) {
		return
	}
	known := s.view().Quarantine.SuspectedAmong(parts)
	for _, p := range parts {
		if s.local.Parts.Known(p) && !slices.Contains(known, p) {
			known = append(known, p)
		}
	}
	if len(known) > 0 {
		s.clearedAt = now
		s.clear(now, known)
	}
}

// release records that listed parts do not crash upstreams. The lock must be held.
func (s *suspects) release(parts []quarantine.Part) {
	for _, p := range s.view().Quarantine.SuspectedAmong(parts) {
		if s.released == nil {
			s.released = map[quarantine.Part]bool{}
		}
		s.released[p] = true
	}
}

// report counts evidence locally and reports it to control. The lock must be held.
func (s *suspects) report(now time.Time, e quarantine.Evidence) {
	s.position++
	s.local.Expire(now, s.position, &localLimits)
	s.local.AddEvidence(now, s.position, &localLimits, []quarantine.Evidence{e})
	s.options.Plane.ReportEvidence(e)
	fields := event.Fields{"outcome": e.Outcome.String(), "upstream": e.Upstream}
	if e.Request != (quarantine.Fingerprint{}) {
		fields["request"] = e.Request.String()
	}
	if len(e.Parts) > 0 {
		fields["parts"] = formatParts(e.Parts)
	}
	eventEvidence.Log(s.options.Log, fields)
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
