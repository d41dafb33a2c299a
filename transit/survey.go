package transit

import (
	"maps"
	"time"

	"celeryport/failover"
)

// Reply is what one instance replied to the question whether it serves a service.
type Reply uint8

const (
	// NotReached means that it was not reached, or can't tell.
	NotReached Reply = iota
	// Silent means that it did not reply in time, and is not known to have ended.
	Silent
	// ReachesNone means that it reaches no upstream of the service.
	ReachesNone
	// ReportsEnd means that it reaches the service, but finds the upstream in question to have ended.
	ReportsEnd
	// Serves means that it handles calls to the service.
	Serves
)

// Others is what is known of a service at the other instances.
type Others uint8

const (
	// OthersUnknown means that no other instance was reached.
	OthersUnknown Others = iota
	// OthersReachNone means that no other instance that was reached reaches an upstream of the service.
	OthersReachNone
	// OthersReportEnd means that another instance finds the upstream in question to have ended, and none that was
	// reached does not.
	OthersReportEnd
	// OthersServe means that another instance handles calls to the service.
	OthersServe
)

// Finding is what the other instances replied. The zero value knows nothing.
type Finding struct {
	Others Others
	By     string // an instance that serves the service, if one does
	Asked  int    // instances that were asked
	Silent int    // instances of them that did not reply in time

	SilentSince time.Time // if MayServe: since when findings that follow each other closely are such
}

// add adds the reply of an instance.
func (f *Finding) add(name string, r Reply) {
	f.Asked++
	switch {
	case r == Silent:
		f.Silent++
	case r == Serves && f.Others != OthersServe:
		f.Others, f.By = OthersServe, name
	case r == ReportsEnd && f.Others != OthersServe:
		f.Others = OthersReportEnd
	case r == ReachesNone && f.Others == OthersUnknown:
		f.Others = OthersReachNone
	}
}

// MayServe reports whether no other instance has replied, and one that was silent may serve the service.
func (f *Finding) MayServe() bool { return f.Others == OthersUnknown && f.Silent > 0 }

// FindingRetention is how long a finding counts: many silent calls need one round of questions.
const FindingRetention = 250 * time.Millisecond

// Survey remembers for each service what the other instances replied. It is not safe for concurrent use.
type Survey struct {
	services map[string]*surveyed
}

type surveyed struct {
	finding Finding
	at      time.Time
	asking  bool
}

// NewSurvey returns a survey that knows nothing.
func NewSurvey() *Survey { return &Survey{services: map[string]*surveyed{}} }

// Finding returns the finding for a service, false if there is none that still counts.
func (s *Survey) Finding(now time.Time, service string) (Finding, bool) {
	return s.Within(now, service, FindingRetention)
}

// Within returns the finding for a service if it is not older than a time.
func (s *Survey) Within(now time.Time, service string, retention time.Duration) (Finding, bool) {
	known := s.services[service]
	if known == nil || known.at.IsZero() || now.Sub(known.at) >= retention {
		return Finding{}, false
	}
	return known.finding, true
}

// Begin reports whether the instances have to be asked now, and if so counts them as being asked.
func (s *Survey) Begin(now time.Time, service string) bool {
	if _, found := s.Finding(now, service); found {
		return false
	}
	known := s.services[service]
	if known == nil {
		s.forget(now)
		known = &surveyed{}
		s.services[service] = known
	}
	begins := !known.asking
	known.asking = true
	return begins
}

// surveyRetention is how long findings are kept to tell changes.
const surveyRetention = time.Minute

// forget removes old findings: upstreams are replaced by others.
func (s *Survey) forget(now time.Time) {
	maps.DeleteFunc(s.services, func(_ string, known *surveyed) bool { return !known.asking && now.Sub(known.at) >= surveyRetention })
}

// Record records a finding and reports whether it differs from the one before.
func (s *Survey) Record(now time.Time, service string, f Finding) (changed bool) {
	known := s.services[service]
	if known == nil {
		known = &surveyed{}
		s.services[service] = known
	}
	if f.MayServe() {
		f.SilentSince = now
		if known.finding.MayServe() && now.Sub(known.at) < failover.MaxSoundSilence {
			f.SilentSince = known.finding.SilentSince
		}
	}
	changed = known.finding.Others != f.Others
	*known = surveyed{finding: f, at: now}
	return changed
}
