package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits configure when a request is quarantined, and how long and how many
// records a Registry keeps.
type Limits struct {
	Started   int           // incarnations that ended after starting to run a request
	Any       int           // incarnations that ended while holding the request in any state
	Suspected time.Duration // lifetime of a suspected request's record after the last evidence
	Retention time.Duration // lifetime of a quarantined request's record after the last evidence
	Records   int           // maximum number of records
	Parts     PartLimits
}

// FleetLimits apply to the combined evidence of all instances.
var FleetLimits = Limits{
	Started:   3,
	Any:       5,
	Suspected: 10 * time.Minute,
	Retention: time.Hour,
	Records:   1024,
	Parts: PartLimits{
		Started:   3,
		Ends:      5,
		Settling:  time.Second,
		Any:       5,
		Suspected: 10 * time.Minute,
		Retention: time.Hour,
		Records:   256,
	},
}

// Registry collects evidence and decides which requests are quarantined. Two
// registries that apply the same evidence in the same order are equal. It is
// not safe for concurrent use.
type Registry struct {
	Records []Record `json:"records,omitempty"` // ordered by the time of the last evidence, oldest first
	Version uint64   `json:"version,omitempty"` // position of the last change of the quarantined requests, blamed or watched parts

	Parts PartRegistry `json:"parts,omitzero"`

	removed bool // a quarantined request was removed since the last decision
}

// Record is the evidence against one request.
type Record struct {
	Request     Fingerprint `json:"request"`
	Started     []uint64    `json:"started,omitempty"` // incarnations that ended after starting to run it
	Waiting     []uint64    `json:"waiting,omitempty"` // other incarnations that ended while holding it
	At          time.Time   `json:"at"`                // time of the last evidence
	Quarantined bool        `json:"quarantined,omitempty"`
}

// AddEvidence adds evidence. position increases with each call that may change
// the registry.
func (reg *Registry) AddEvidence(now time.Time, position uint64, limits *Limits, evidence []Evidence) {
	for i := range evidence {
		if evidence[i].Request != (Fingerprint{}) {
			reg.apply(now, &evidence[i])
		}
		reg.Parts.add(now, &evidence[i])
	}
	reg.evictExcess(limits)
	reg.Parts.evictExcess(&limits.Parts)
	reg.decide(now, position, limits)
}

func (reg *Registry) apply(now time.Time, e *Evidence) {
	record := Record{Request: e.Request}
	if at := reg.find(e.Request); at >= 0 {
		record = reg.Records[at]
		reg.Records = slices.Delete(reg.Records, at, at+1)
	}
	if e.Outcome == Answered {
		reg.removed = reg.removed || record.Quarantined
		return
	}
	record.add(e)
	record.At = now
	reg.Records = append(reg.Records, record)
}

// maxUpstreams bounds the incarnations listed in a record.
const maxUpstreams = 16

func (r *Record) add(e *Evidence) {
	if slices.Contains(r.Started, e.Upstream) {
		return
	}
	r.Waiting = slices.DeleteFunc(slices.Clone(r.Waiting), func(key uint64) bool { return key == e.Upstream })
	switch {
	case r.upstreamCount() >= maxUpstreams:
	case e.Outcome == EndedStarted:
		r.Started = append(slices.Clone(r.Started), e.Upstream)
	default:
		r.Waiting = append(r.Waiting, e.Upstream)
	}
}

// upstreamCount returns the number of incarnations that ended with the request.
func (r *Record) upstreamCount() int { return len(r.Started) + len(r.Waiting) }

// decide determines which requests are quarantined, in order of decreasing
// evidence. A crash explained by a quarantined request or a blamed part is weak evidence
// against the other requests on that upstream, and counts only towards their Any limit:
// when crashes are frequent, innocent requests that run beside the causes are hit
// several times.
func (reg *Registry) decide(now time.Time, position uint64, limits *Limits) {
	order := make([]*Record, len(reg.Records))
	for i := range reg.Records {
		order[i] = &reg.Records[i]
	}
	slices.SortStableFunc(order, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Started), len(a.Started)), cmp.Compare(b.upstreamCount(), a.upstreamCount()))
	})
	var quarantined []*Record
	explained := map[uint64]bool{}
	changed := reg.Parts.decide(now, &limits.Parts) || reg.removed
	reg.removed = false
	for _, r := range order {
		unexplained := 0
		var byParts map[uint64]bool
		if len(r.Started) >= limits.Started {
			byParts = reg.Parts.explainedBeside(r)
		}
		for _, upstream := range r.Started {
			if !explained[upstream] && !byParts[upstream] {
				unexplained++
			}
		}
		was := r.Quarantined
		r.Quarantined = unexplained >= limits.Started || r.upstreamCount() >= limits.Any
		changed = changed || r.Quarantined != was
		if r.Quarantined {
			quarantined = append(quarantined, r)
			for _, upstream := range r.Started {
				explained[upstream] = true
			}
		}
	}
	changed = reg.Parts.setAlternatives(&limits.Parts, quarantined) || changed
	if changed {
		reg.Version = position
	}
}

// Expire removes the records of requests without recent evidence.
func (reg *Registry) Expire(now time.Time, position uint64, limits *Limits) {
	before := len(reg.Records)
	reg.Records = slices.DeleteFunc(reg.Records, func(r Record) bool {
		lifetime := limits.Suspected
		if r.Quarantined {
			lifetime = limits.Retention
		}
		expired := now.Sub(r.At) >= lifetime
		reg.removed = reg.removed || expired && r.Quarantined
		return expired
	})
	if reg.Parts.expire(now, &limits.Parts) || len(reg.Records) < before {
		reg.decide(now, position, limits)
	}
}

// evictExcess evicts the oldest records above the limit, those of merely
// suspected requests first.
func (reg *Registry) evictExcess(limits *Limits) {
	for len(reg.Records) > limits.Records {
		at := max(0, slices.IndexFunc(reg.Records, func(r Record) bool { return !r.Quarantined }))
		reg.removed = reg.removed || reg.Records[at].Quarantined
		reg.Records = slices.Delete(reg.Records, at, at+1)
	}
}

// Quarantined reports whether a request is quarantined.
func (reg *Registry) Quarantined(request Fingerprint) bool {
	at := reg.find(request)
	return at >= 0 && reg.Records[at].Quarantined
}

// Known reports whether there is evidence against a request.
func (reg *Registry) Known(request Fingerprint) bool { return reg.find(request) >= 0 }

// List returns the quarantined requests and the blamed parts.
func (reg *Registry) List() *List {
	var requests []Fingerprint
	for i := range reg.Records {
		if reg.Records[i].Quarantined {
			requests = append(requests, reg.Records[i].Request)
		}
	}
	list := NewList(reg.Version, requests, reg.Parts.Groups, reg.Parts.Watched)
	list.alternatives = reg.Parts.Alternatives
	return list
}

func (reg *Registry) find(request Fingerprint) int {
	return slices.IndexFunc(reg.Records, func(r Record) bool { return r.Request == request })
}
