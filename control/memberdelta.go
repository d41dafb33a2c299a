package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"celeryport/membership"
	"celeryport/pack"
)

// memberDelta is a list of instances for the wire: as it is, or packed where it goes to
// many. When a fleet starts, all its instances are told of all others at once, and the
// voters that tell them have small processors: the list is then encoded once, and a
// tenth as many bytes are copied for each.
type memberDelta struct {
	list   []membership.Instance
	packed []byte // the list as packed JSON; nil: not packed
}

// packMembers returns a list that goes to many.
func packMembers(list []membership.Instance) (memberDelta, error) {
	text, err := json.Marshal(list)
	if err != nil {
		return memberDelta{}, errors.Wrap(err, "encode instances")
	}
	packed, err := pack.Text(text)
	return memberDelta{list: list, packed: packed}, err
}

// IsZero has an empty list left out.
func (d memberDelta) IsZero() bool { return len(d.list) == 0 }

// MarshalJSON implements json.Marshaler: an array, or a string where it is packed.
func (d memberDelta) MarshalJSON() ([]byte, error) {
	if d.packed != nil {
		return json.Marshal(d.packed)
	}
	return json.Marshal(d.list)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *memberDelta) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		if err := json.Unmarshal(data, &d.packed); err != nil {
			return errors.Wrap(err, "decode packed instances")
		}
		var err error
		if data, err = pack.Unpack(d.packed); err != nil {
			return err
		}
	}
	return errors.Wrap(json.Unmarshal(data, &d.list), "decode instances")
}
