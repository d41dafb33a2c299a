package state

import (
	"slices"

	"celeryport/claim"
	"celeryport/consensus"
)

// Configure applies a committed membership change of the control group. A change of the
// voters starts a new epoch of claims; learners have no vote on claims and start none.
func (m *Machine) Configure(index uint64, c consensus.Configuration) {
	if index <= m.content.Applied {
		return
	}
	m.Skip(index)
	voters := make([]consensus.ID, 0, len(c.Voters))
	for _, v := range c.Voters {
		voters = append(voters, v.ID)
	}
	slices.Sort(voters)
	old := m.content.Epoch
	if slices.Equal(old.Voters, voters) {
		return
	}
	m.content.Epoch = claim.Epoch{
		Number: index, Voters: voters, PreviousNumber: old.Number, Previous: old.Voters,
	}
}

// Epoch returns the current epoch of claims. Its number is 0 before the first epoch.
func (m *Machine) Epoch() claim.Epoch { return m.content.Epoch }
