package claim

import (
	"slices"

	"celeryport/consensus"
)

// Epoch is one set of voters. A vote counts only together with other votes of the
// same epoch. The number is the index of the log entry that changed the voters.
type Epoch struct {
	Number         uint64         `json:"number"`
	Voters         []consensus.ID `json:"voters"`
	PreviousNumber uint64         `json:"previous_number,omitempty"`
	Previous       []consensus.ID `json:"previous,omitempty"` // previous voters; empty in the first epoch
	// Reset indicates that the votes of the previous voters are permanently lost
	// and that none of those voters is still running. All voters abstain for one
	// key lifetime.
	Reset bool `json:"reset,omitempty"`
}

// Majority returns the number of votes needed to win a claim.
func (e Epoch) Majority() int { return len(e.Voters)/2 + 1 }

// readQuorum returns the number of previous voters that intersects every majority
// of them.
func (e Epoch) readQuorum() int {
	majority := len(e.Previous)/2 + 1
	return len(e.Previous) - majority + 1
}

// Has reports whether id is a voter of the epoch.
func (e Epoch) Has(id consensus.ID) bool { return slices.Contains(e.Voters, id) }
