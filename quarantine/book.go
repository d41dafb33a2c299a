package quarantine

import (
	"slices"
	"time"
)

// Limits say when a request is quarantined, and how long and how much a Book remembers.
type Limits struct {
	Started   int           // incarnations that ended after they had begun to run a request
	Any       int           // incarnations that ended while they had the request at all
	Suspected time.Duration // a request is forgotten so long after the last evidence against it
	Retention time.Duration // the same for a quarantined request
	Records   int           // requests that are remembered at most
}

// FleetLimits hold for the evidence of all instances together. A request that ran beside
// one that crashes upstreams may be hit by chance; a caller's tries seldom bring it to
// three upstreams that each end at its start.
var FleetLimits = Limits{
	Started:   3,
	Any:       5,
	Suspected: 10 * time.Minute,
	Retention: time.Hour,
	Records:   1024,
}

// Book collects evidence and decides which requests are quarantined. Two books that take
// in the same evidence in the same order are equal. It is not safe for concurrent use.
type Book struct {
	Records []Record `json:"records,omitempty"` // by the time of the last evidence, oldest first
	Version uint64   `json:"version,omitempty"` // position at which the quarantined requests changed last
}

// Record is the evidence against one request.
type Record struct {
	Request     Fingerprint `json:"request"`
	Started     []uint64    `json:"started,omitempty"` // incarnations that ended after they had begun to run it
	Waiting     []uint64    `json:"waiting,omitempty"` // other incarnations that ended while they had it
	At          time.Time   `json:"at"`                // of the last evidence
	Quarantined bool        `json:"quarantined,omitempty"`
}

// Take takes in evidence. position grows with each call that may change the book.
func (b *Book) Take(now time.Time, position uint64, limits *Limits, evidence []Evidence) {
	for i := range evidence {
		if b.take(now, limits, &evidence[i]) {
			b.Version = position
		}
	}
	b.bound(position, limits)
}

// take returns whether the quarantined requests changed.
func (b *Book) take(now time.Time, limits *Limits, e *Evidence) bool {
	at := b.find(e.Request)
	if e.Outcome == Answered {
		return at >= 0 && b.drop(at)
	}
	record := Record{Request: e.Request}
	if at >= 0 {
		record = b.Records[at]
		b.drop(at)
	}
	record.note(e)
	record.At = now
	was := record.Quarantined
	record.Quarantined = was || len(record.Started) >= limits.Started || len(record.Started)+len(record.Waiting) >= limits.Any
	b.Records = append(b.Records, record)
	return record.Quarantined != was
}

func (r *Record) note(e *Evidence) {
	if r.Quarantined || slices.Contains(r.Started, e.Upstream) {
		return
	}
	r.Waiting = slices.DeleteFunc(slices.Clone(r.Waiting), func(key uint64) bool { return key == e.Upstream })
	if e.Outcome == EndedStarted {
		r.Started = append(slices.Clone(r.Started), e.Upstream)
		return
	}
	r.Waiting = append(r.Waiting, e.Upstream)
}

// Expire forgets requests against which nothing came for long.
func (b *Book) Expire(now time.Time, position uint64, limits *Limits) {
	kept := b.Records[:0]
	for i := range b.Records {
		r := &b.Records[i]
		lifetime := limits.Suspected
		if r.Quarantined {
			lifetime = limits.Retention
		}
		if now.Sub(r.At) < lifetime {
			kept = append(kept, *r)
			continue
		}
		if r.Quarantined {
			b.Version = position
		}
	}
	clear(b.Records[len(kept):])
	b.Records = kept
}

// bound evicts the oldest requests above the limit, those that are only suspected first.
func (b *Book) bound(position uint64, limits *Limits) {
	for len(b.Records) > limits.Records {
		at := max(0, slices.IndexFunc(b.Records, func(r Record) bool { return !r.Quarantined }))
		if b.drop(at) {
			b.Version = position
		}
	}
}

// Quarantined reports whether a request is quarantined.
func (b *Book) Quarantined(request Fingerprint) bool {
	at := b.find(request)
	return at >= 0 && b.Records[at].Quarantined
}

// Known reports whether there is evidence against a request.
func (b *Book) Known(request Fingerprint) bool { return b.find(request) >= 0 }

// List returns the quarantined requests.
func (b *Book) List() *List {
	var requests []Fingerprint
	for i := range b.Records {
		if b.Records[i].Quarantined {
			requests = append(requests, b.Records[i].Request)
		}
	}
	return NewList(b.Version, requests)
}

func (b *Book) find(request Fingerprint) int {
	return slices.IndexFunc(b.Records, func(r Record) bool { return r.Request == request })
}

// drop removes a record and returns whether it was quarantined.
func (b *Book) drop(at int) bool {
	quarantined := b.Records[at].Quarantined
	b.Records = slices.Delete(b.Records, at, at+1)
	return quarantined
}
