package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// caller is one key of an organisation, as its hash.
type caller struct {
	digest       [sha256.Size]byte
	organisation string
}

func newCallers(organisations []Organisation) []caller {
	var callers []caller
	for _, o := range organisations {
		for _, hash := range o.KeySHA256 {
			c := caller{organisation: o.Name}
			if _, err := hex.Decode(c.digest[:], []byte(hash)); err != nil {
				continue // digestPattern let only hex through
			}
			callers = append(callers, c)
		}
	}
	return callers
}

// Authenticate returns the organisation whose key a caller presents. Its time
// does not depend on the key or on which entry matches, so that it can't be
// used to guess keys bit by bit.
func (t *Tree) Authenticate(key string) (organisation string, ok bool) {
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i := range t.callers {
		equal := subtle.ConstantTimeCompare(digest[:], t.callers[i].digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return t.callers[found].organisation, true
}

// HashKey returns the form in which a key stands in a settings tree.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// MatchKey reports whether key is one of the accepted ones, in a time that does
// not depend on how much of it is right.
func MatchKey(key string, accepted []string) bool {
	digest := sha256.Sum256([]byte(key))
	match := 0
	for _, a := range accepted {
		other := sha256.Sum256([]byte(a))
		match |= subtle.ConstantTimeCompare(digest[:], other[:])
	}
	return match == 1
}
