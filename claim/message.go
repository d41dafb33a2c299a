package claim

import (
	"time"

	"celeryport/consensus"
)

// MessageKind is the type of a Message.
type MessageKind uint8

// Message kinds exchanged between claimants and voters, and between voters.
const (
	VoteRequest MessageKind = iota
	VoteResponse
	SettleRequest // stores an outcome; Released makes the key available again
	SettleResponse
	CopyRequest // sent by a voter that enters an epoch, to copy a bucket of another voter's votes
	CopyResponse
)

// Answer is a voter's response to a VoteRequest.
type Answer uint8

const (
	// Abstained means that the voter can't vote now; its vote counts for no holder.
	Abstained Answer = iota
	// Granted means that the voter has granted its vote to the holder.
	Granted
	// Held means that another holder has the vote, or that the outcome is known.
	Held
	// Refused means that the key is too old or its timestamp is too far in the
	// future.
	Refused
)

// Message is sent between a claimant and a voter, or between two voters. The
// protocol tolerates lost, duplicated, delayed and reordered messages.
type Message struct {
	Kind    MessageKind  `json:"kind"`
	From    consensus.ID `json:"from"` // instance of the claimant, or a voter
	To      consensus.ID `json:"to"`
	Epoch   uint64       `json:"epoch"` // epoch of the voters as known to the sender
	Key     Key          `json:"key"`
	Holder  Holder       `json:"holder"`
	Answer  Answer       `json:"answer,omitempty"`
	Other   Holder       `json:"other,omitzero"` // on Held: holder of the vote; zero if unknown
	Outcome Outcome      `json:"outcome,omitzero"`

	Complete uint64 `json:"complete,omitempty"` // on CopyResponse: epoch up to which the votes are complete
	Bucket   int    `json:"bucket,omitempty"`   // bucket of the table that is copied
	Votes    []Vote `json:"votes,omitempty"`

	DroppedBefore time.Time `json:"forgotten,omitzero"` // on CopyResponse: votes of keys created before this time may be missing
}
