package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// callerKey maps the hash of one API key to its organisation.
type callerKey struct {
	digest       [sha256.Size]byte
	organisation string
}

func newCallerKeys(organisations []Organisation) []callerKey {
	var callerKeys []callerKey
	for _, o := range organisations {
		for _, hash := range o.KeySHA256 {
			c := callerKey{organisation: o.Name}
			if _, err := hex.Decode(c.digest[:], []byte(hash)); err != nil {
				continue // unreachable: digestPattern accepts only hex digits
			}
			callerKeys = append(callerKeys, c)
		}
	}
	return callerKeys
}

// Authenticate returns the organisation that owns key. It takes the same time
// whichever entry matches, so that timing reveals nothing about the keys.
func (t *Tree) Authenticate(key string) (organisation string, ok bool) {
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i := range t.callerKeys {
		equal := subtle.ConstantTimeCompare(digest[:], t.callerKeys[i].digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return t.callerKeys[found].organisation, true
}

// HashKey returns the hex SHA-256 of a key, as it is stored in a settings tree.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// MatchKey reports whether key is one of the accepted keys, in constant time.
func MatchKey(key string, accepted []string) bool {
	digest := sha256.Sum256([]byte(key))
	match := 0
	for _, a := range accepted {
		other := sha256.Sum256([]byte(a))
		match |= subtle.ConstantTimeCompare(digest[:], other[:])
	}
	return match == 1
}
