package ledger

import (
	"time"

	"celeryport/verdict"
)

// Report lists requests and their outcomes by organisation, class and target.
// Every row satisfies
//
//	received + carried in = served + refused + failed + in flight + unknown
//
// where "carried in" counts the requests that were in flight at Since. It is 0 in
// a report without Since.
type Report struct {
	At           time.Time    `json:"at"`
	Since        time.Time    `json:"since,omitzero"`         // start of the counts
	LatencySince time.Time    `json:"latency_since,omitzero"` // start of the latencies
	Total        Row          `json:"total"`
	ByOrg        []Row        `json:"by_organisation"`
	ByClass      []Row        `json:"by_class"`
	ByTarget     []Row        `json:"by_target"`
	Rows         []Row        `json:"rows"` // by organisation, class and target
	Latencies    []Latency    `json:"latencies"`
	Unknown      []UnknownEnd `json:"unknown"`
	Unplaced     []Unplaced   `json:"unplaced,omitempty"`
	// MissingVoters lists the voters that did not answer. The report lacks counters
	// of ended instances that only these voters hold.
	MissingVoters []string `json:"missing_books,omitempty"`
	// DroppedUpTo is set only in a report without Since, if old incarnations were
	// dropped from it. It is the time of the last copy of the newest of them.
	DroppedUpTo time.Time `json:"dropped_up_to,omitzero"`
}

// Row counts the requests of one organisation, class or target, or of a combination
// of them.
type Row struct {
	Organisation string    `json:"organisation,omitempty"`
	Class        string    `json:"class,omitempty"`
	Kind         string    `json:"kind,omitempty"`
	Target       string    `json:"target,omitempty"`
	CarriedIn    int64     `json:"carried_in"`
	Received     uint64    `json:"received"`
	Served       uint64    `json:"served"`
	Late         uint64    `json:"late"` // included in Served
	Refused      uint64    `json:"refused"`
	RefusedBy    []Refusal `json:"refused_by,omitempty"`
	Failed       uint64    `json:"failed"`
	FailedBy     []Failure `json:"failed_by,omitempty"`
	InFlight     int64     `json:"in_flight"`
	Unknown      int64     `json:"unknown"` // in flight on an instance that is dead or unreachable
	PromptTokens uint64    `json:"prompt_tokens"`
	AnswerTokens uint64    `json:"answer_tokens"`
	CachedTokens uint64    `json:"cached_tokens"`
}

// Refusal counts the refusals for one reason.
type Refusal struct {
	Reason verdict.Reason `json:"reason"`
	Count  uint64         `json:"count"`
}

// Failure counts the failures of one reason and verdict.
type Failure struct {
	Reason  verdict.Reason  `json:"reason"`
	Verdict verdict.Verdict `json:"verdict"`
	Count   uint64          `json:"count"`
}

// UnknownEnd describes an instance that may have received and answered requests
// after its last known copy.
type UnknownEnd struct {
	Instance    string    `json:"instance"`
	Incarnation uint64    `json:"incarnation"`
	Since       time.Time `json:"since,omitzero"` // zero: nothing was ever copied
	InFlight    int64     `json:"in_flight"`      // at Since
	Reason      string    `json:"reason"`
}

// The reasons of an UnknownEnd.
const (
	EndDead        = "dead"        // ended without sending a final copy
	EndUnreachable = "not reached" // listed as alive by the control group, but did not answer
)

// Unplaced counts requests that are part of a report without Since, but for which
// it is unknown whether they came before or after the start of this report.
type Unplaced struct {
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Received uint64    `json:"received"`
}
