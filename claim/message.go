package claim

import (
	"time"

	"celeryport/consensus"
)

// MessageKind is the kind of a Message.
type MessageKind uint8

// The messages between claimants and voters, and between two voters.
const (
	VoteRequest MessageKind = iota
	VoteResponse
	SettleRequest // stores an outcome; Released frees the key
	SettleResponse
	CopyRequest // a voter that enters an epoch asks for a part of another's votes
	CopyResponse
)

// Answer is what a voter says to a VoteRequest.
type Answer uint8

const (
	// Abstained means that the voter may not vote now, so its vote counts for nobody.
	Abstained Answer = iota
	// Granted means that the holder has this voter's vote.
	Granted
	// Held means that another holder has it, or that the outcome is known.
	Held
	// Refused means that the key is too old, or from the future.
	Refused
)

// Message travels between a claimant and a voter. Messages may be lost, doubled,
// late and reordered without harm.
type Message struct {
	Kind    MessageKind  `json:"kind"`
	From    consensus.ID `json:"from"` // instance of a claimant, or voter
	To      consensus.ID `json:"to"`
	Epoch   uint64       `json:"epoch"` // of the voters, as the sender knows it
	Key     Key          `json:"key"`
	Holder  Holder       `json:"holder"`
	Answer  Answer       `json:"answer,omitempty"`
	Other   Holder       `json:"other,omitzero"` // on Held: who has the vote; zero when unknown
	Outcome Outcome      `json:"outcome,omitzero"`

	Complete uint64 `json:"complete,omitempty"` // on CopyResponse: epoch up to which the votes are complete
	Bucket   int    `json:"bucket,omitempty"`   // part of the table that is copied
	Votes    []Vote `json:"votes,omitempty"`

	Forgotten time.Time `json:"forgotten,omitzero"` // on CopyResponse: keys made before may be missing
}
