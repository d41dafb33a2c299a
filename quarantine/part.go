package quarantine

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Part identifies one part of a prompt, such as a shared document or an instruction, across requests
// and instances. It is a hash of the ID that callers give the part.
type Part uint64

// MaxParts bounds the parts of one request that are considered.
const MaxParts = 32

// PartOf returns the part with an ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(strings.ToLower(id))) }

// String returns the form used in logs and operators' commands.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// ParsePart parses the form returned by String.
func ParsePart(text string) (Part, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != 8 {
		return 0, errors.Newf("%q is not a part of 16 hexadecimal digits", text)
	}
	var p Part
	for _, b := range data {
		p = p<<8 | Part(b)
	}
	return p, nil
}
