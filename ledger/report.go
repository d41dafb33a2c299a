package ledger

import (
	"time"

	"celeryport/verdict"
)

// Report says who got what. For every row holds
//
//	received + carried in = served + refused + failed + in flight + unknown
//
// where carried in are the requests that were in flight at Since, and 0 for a
// report over everything.
type Report struct {
	At           time.Time    `json:"at"`
	Since        time.Time    `json:"since,omitzero"`         // from which the counts run
	LatencySince time.Time    `json:"latency_since,omitzero"` // from which the latencies run
	Total        Row          `json:"total"`
	ByOrg        []Row        `json:"by_organisation"`
	ByClass      []Row        `json:"by_class"`
	ByTarget     []Row        `json:"by_target"`
	Rows         []Row        `json:"rows"` // by organisation, class and target
	Latencies    []Latency    `json:"latencies"`
	Unknown      []UnknownEnd `json:"unknown"`
	Unplaced     []Unplaced   `json:"unplaced,omitempty"`
	// MissingBooks are voters that did not answer. What ended instances copied to
	// none but them is not in the report.
	MissingBooks []string `json:"missing_books,omitempty"`
	// DroppedUpTo is set in a report over everything that lacks incarnations which
	// ended up to then.
	DroppedUpTo time.Time `json:"dropped_up_to,omitzero"`
}

// Row is what one organisation, class or target got, or a combination of them.
type Row struct {
	Organisation string    `json:"organisation,omitempty"`
	Class        string    `json:"class,omitempty"`
	Kind         string    `json:"kind,omitempty"`
	Target       string    `json:"target,omitempty"`
	CarriedIn    int64     `json:"carried_in"`
	Received     uint64    `json:"received"`
	Served       uint64    `json:"served"`
	Late         uint64    `json:"late"` // of the served ones
	Refused      uint64    `json:"refused"`
	RefusedBy    []Refusal `json:"refused_by,omitempty"`
	Failed       uint64    `json:"failed"`
	FailedBy     []Failure `json:"failed_by,omitempty"`
	InFlight     int64     `json:"in_flight"`
	Unknown      int64     `json:"unknown"` // were in flight on an instance that is dead or not reached
	PromptTokens uint64    `json:"prompt_tokens"`
	AnswerTokens uint64    `json:"answer_tokens"`
	CachedTokens uint64    `json:"cached_tokens"`
}

// Refusal counts the refusals of one reason.
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

// UnknownEnd is an instance of which nothing is known since a time, though it
// may have received and answered more.
type UnknownEnd struct {
	Instance    string    `json:"instance"`
	Incarnation uint64    `json:"incarnation"`
	Since       time.Time `json:"since,omitzero"` // zero: nothing was ever copied
	InFlight    int64     `json:"in_flight"`      // at that time
	Reason      string    `json:"reason"`
}

// The reasons of an UnknownEnd.
const (
	EndDead       = "dead"        // ended without its last copy
	EndNotReached = "not reached" // alive for the control group, but did not answer
)

// Unplaced are requests that are in the counts over everything, but can't be
// placed before or after the beginning of the report.
type Unplaced struct {
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Received uint64    `json:"received"`
}
