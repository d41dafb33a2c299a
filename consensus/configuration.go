package consensus

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Voter reports whether id is a voter in the configuration.
func (c Configuration) Voter(id ID) bool { return hasMember(c.Voters, id) }

// Learner reports whether id is a learner in the configuration.
func (c Configuration) Learner(id ID) bool { return hasMember(c.Learners, id) }

// Majority returns the number of voters needed for a majority.
func (c Configuration) Majority() int { return len(c.Voters)/2 + 1 }

// Members returns the voters followed by the learners.
func (c Configuration) Members() []Member {
	return append(slices.Clone(c.Voters), c.Learners...)
}

// check rejects a configuration with an empty or duplicate member ID.
func (c Configuration) check() error {
	seen := make(map[ID]bool)
	for _, m := range c.Members() {
		if m.ID == "" {
			return errors.New("a member needs an ID")
		}
		if seen[m.ID] {
			return errors.Newf("member %s is named twice", m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}

// encode returns the configuration as the data of a Reconfiguration entry.
func (c Configuration) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: the configuration contains only strings
	}
	return data
}

// DecodeConfiguration decodes and validates the data of a Reconfiguration entry.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return Configuration{}, errors.Wrap(err, "configuration entry")
	}
	return c, c.check()
}

func hasMember(members []Member, id ID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// membersNotIn returns the members of a whose IDs are not in b.
func membersNotIn(a, b []Member) []ID {
	var missing []ID
	for _, m := range a {
		if !hasMember(b, m.ID) {
			missing = append(missing, m.ID)
		}
	}
	return missing
}
