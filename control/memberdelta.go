package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"celeryport/membership"
	"celeryport/pack"
)

// memberDelta is a list of instances for the wire, compressed if it is sent to many
// receivers. When a fleet starts, each instance receives the list of all others at once
// from voters with small processors: the list is then encoded only once, and a tenth of
// the bytes are copied for each receiver.
type memberDelta struct {
	list   []membership.Instance
	packed []byte // the list as compressed JSON; nil: not compressed
}

// minPackedMembers is the length from which a list is compressed. While a fleet starts or is
// restarted in turns, each answer names many instances, and all of them go to every instance.
const minPackedMembers = 8

// packedMembers holds the compressed lists of the current revision of the member list, by the
// revision after which their instances have changed.
type packedMembers struct {
	at     uint64
	deltas map[uint64]memberDelta
}

func (p *packedMembers) find(at, since uint64) (memberDelta, bool) {
	if p.at != at {
		return memberDelta{}, false
	}
	delta, found := p.deltas[since]
	return delta, found
}

func (p *packedMembers) add(at, since uint64, delta memberDelta) {
	if p.at != at {
		p.at, p.deltas = at, map[uint64]memberDelta{}
	}
	p.deltas[since] = delta
}

// packMembers returns a compressed list.
func packMembers(list []membership.Instance) (memberDelta, error) {
	text, err := json.Marshal(list)
	if err != nil {
		return memberDelta{}, errors.Wrap(err, "encode instances")
	}
	packed, err := pack.Text(text)
	return memberDelta{list: list, packed: packed}, err
}

// IsZero reports whether the list is empty, in which case it is omitted from JSON.
func (d memberDelta) IsZero() bool { return len(d.list) == 0 }

// MarshalJSON implements json.Marshaler. The result is an array, or a string if the list
// is compressed.
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
			return errors.Wrap(err, "decode compressed instances")
		}
		var err error
		if data, err = pack.Unpack(d.packed); err != nil {
			return err
		}
	}
	return errors.Wrap(json.Unmarshal(data, &d.list), "decode instances")
}
