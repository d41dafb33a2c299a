package agreement

import "celeryport/consensus"

// Ballot orders proposals. The proposer is the ID of its data folder, so that no two proposers and no two
// folders share a ballot.
type Ballot struct {
	Number   uint64       `json:"number"`
	Proposer consensus.ID `json:"proposer"`
}

// Less reports whether b precedes other.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	return b.Proposer < other.Proposer
}

// Acceptor is the state of a voter that has to be durable before an answer based on it is sent.
type Acceptor struct {
	Promised Ballot                   `json:"promised"`
	Accepted Ballot                   `json:"accepted"`
	Value    *consensus.Configuration `json:"value,omitempty"` // accepted in the ballot Accepted, nil if none was
	// Reassigned is set if the settings of the voter have named different founding voters. It no longer
	// counts as an initial voter then: majorities of different sets of voters need not intersect.
	Reassigned bool `json:"reassigned,omitempty"`
}

// Request asks a voter for a promise, or to accept a value.
type Request struct {
	Ballot Ballot                   `json:"ballot"`
	Voters []string                 `json:"voters"`          // control addresses of all founding voters
	Value  *consensus.Configuration `json:"value,omitempty"` // nil: asks for a promise
}

// Answer is the response of a voter to a request.
type Answer struct {
	ID       consensus.ID             `json:"id"` // of its data folder
	Initial  bool                     `json:"initial"`
	Granted  bool                     `json:"granted"`
	Promised Ballot                   `json:"promised"`
	Accepted Ballot                   `json:"accepted"`
	Value    *consensus.Configuration `json:"value,omitempty"`
}

// Handle returns the state after a request, and whether the request is granted. The state is unchanged if
// it is not.
func (a Acceptor) Handle(r *Request) (Acceptor, bool) {
	if r.Ballot.Less(a.Promised) || r.Ballot.Number == 0 {
		return a, false
	}
	a.Promised = r.Ballot
	if r.Value != nil {
		a.Accepted, a.Value = r.Ballot, r.Value
	}
	return a, true
}
