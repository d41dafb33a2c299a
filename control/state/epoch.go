package state

import (
	"slices"

	"celeryport/claim"
	"celeryport/consensus"
)

// Configure notes a committed change of the members. A change of the voters
// begins a new epoch of claims; learners don't vote on them.
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

// Epoch returns the present epoch of claims; its number is 0 before the first.
func (m *Machine) Epoch() claim.Epoch { return m.content.Epoch }
