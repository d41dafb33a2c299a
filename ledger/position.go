package ledger

import "encoding/binary"

// position is the sequence number up to which a voter has the account of one
// incarnation.
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

// decodePosition decodes a position that a voter returned. Malformed input decodes
// as the empty position, which at worst causes a larger copy.
func decodePosition(b []byte) position {
	if len(b) != positionSize {
		return position{}
	}
	return position{
		incarnation: binary.BigEndian.Uint64(b),
		sequence:    binary.BigEndian.Uint64(b[positionSize/2:]),
	}
}
