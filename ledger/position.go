package ledger

import "encoding/binary"

// position is how far a voter has the account of one incarnation.
type position struct {
	incarnation uint64
	sequence    uint64
}

const positionSize = 16

func (p position) encode() []byte {
	b := make([]byte, 0, positionSize)
	b = binary.BigEndian.AppendUint64(b, p.incarnation)
	return binary.BigEndian.AppendUint64(b, p.sequence)
}

// decodePosition reads what a voter returned. Anything else counts as nothing
// stored, which at worst copies too much.
func decodePosition(b []byte) position {
	if len(b) != positionSize {
		return position{}
	}
	return position{
		incarnation: binary.BigEndian.Uint64(b),
		sequence:    binary.BigEndian.Uint64(b[positionSize/2:]),
	}
}
