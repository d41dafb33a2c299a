// Package claim ensures that at most one entry instance sends a non-repeatable
// request. Before it sends, a claimant needs a write-once vote from a majority of
// the voters. Any two majorities have a voter in common, so two claimants never
// both win. Voter and Claimant are deterministic state machines without I/O.
package claim

import "time"

// Key identifies one request of one organisation.
type Key struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

// Holder identifies one attempt to send a request. Each attempt has its own holder.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Request     string `json:"request"`
	Attempt     uint32 `json:"attempt,omitempty"` // incremented with each retry after split votes
}

// OutcomeKind is the known state of a claimed request.
type OutcomeKind uint8

const (
	// Pending means that the request is claimed and not known to have ended.
	Pending OutcomeKind = iota
	// Done means that the request ran; Answer may contain its stored result.
	Done
	// Released means that the holder proved that the request did not run. The key
	// can be claimed again.
	Released
)

// Outcome is a voter's record of the result of a claimed request.
type Outcome struct {
	Kind   OutcomeKind `json:"kind"`
	Status int         `json:"status,omitempty"` // HTTP status of the upstream's answer
	Answer []byte      `json:"answer,omitempty"` // stored result of at most MaxAnswer bytes
}

// MaxAnswer is the maximum size in bytes of an answer that is stored for
// duplicates of the request.
const MaxAnswer = 16 << 10

// Vote is a voter's record for a key.
type Vote struct {
	Key     Key       `json:"key"`
	Holder  Holder    `json:"holder"`
	Outcome Outcome   `json:"outcome"`
	At      time.Time `json:"at"` // wall time of the vote, from which the lifetime of an opaque key is counted
}
