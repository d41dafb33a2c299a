package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"celeryport/membership"
)

// memberDelta is a list of instances for the wire. One that goes to many is encoded
// once: when a fleet starts, all its instances are told of all others.
type memberDelta struct {
	list    []membership.Instance
	encoded []byte // nil: not yet
}

// IsZero has an empty list left out.
func (d memberDelta) IsZero() bool { return len(d.list) == 0 }

// MarshalJSON implements json.Marshaler.
func (d memberDelta) MarshalJSON() ([]byte, error) {
	if d.encoded != nil {
		return d.encoded, nil
	}
	return json.Marshal(d.list)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *memberDelta) UnmarshalJSON(data []byte) error {
	return errors.Wrap(json.Unmarshal(data, &d.list), "decode instances")
}
