// Package claim lets at most one entry instance send a request that may not be
// repeated. A claimant needs a write-once vote from a majority of the voters
// before it sends; two majorities share a voter, so two claimants never both
// win. Voter and Claimant are pure state machines.
package claim

import "time"

// Key names one request of one organisation.
type Key struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

// Holder names one attempt to send: no two attempts share a holder.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Request     string `json:"request"`
	Attempt     uint32 `json:"attempt,omitempty"` // grows with each retry after split votes
}

// OutcomeKind tells what is known of a claimed request.
type OutcomeKind uint8

const (
	// Pending means claimed, and not known to have ended.
	Pending OutcomeKind = iota
	// Done means that it ran; Answer may hold its stored result.
	Done
	// Released means that the holder proved that it did not run; the key is free again.
	Released
)

// Outcome is what a voter remembers for a key.
type Outcome struct {
	Kind   OutcomeKind `json:"kind"`
	Status int         `json:"status,omitempty"` // HTTP status of the upstream's answer
	Answer []byte      `json:"answer,omitempty"` // stored result, bounded by MaxAnswer
}

// MaxAnswer is the most bytes of an answer that are kept for duplicates.
const MaxAnswer = 16 << 10

// Vote is a voter's record for a key.
type Vote struct {
	Key     Key       `json:"key"`
	Holder  Holder    `json:"holder"`
	Outcome Outcome   `json:"outcome"`
	At      time.Time `json:"at"` // wall time, for the lifetime of the key
}
