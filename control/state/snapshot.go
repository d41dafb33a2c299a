package state

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := json.Marshal(&m.content)
	return data, errors.Wrap(err, "encode the state")
}

// Restore replaces the whole state with that of a snapshot. Empty data restores the empty
// state.
func (m *Machine) Restore(data []byte) error {
	var restored content
	if len(data) > 0 {
		if err := json.Unmarshal(data, &restored); err != nil {
			return errors.Wrap(err, "decode a snapshot of the state")
		}
	}
	m.content = restored
	return nil
}
