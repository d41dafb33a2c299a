package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint identifies a request across retries and instances: two requests
// have the same fingerprint if their host, path, caller and body are equal. The
// request ID and the deadline of an attempt are not part of it.
type Fingerprint struct {
	Scope uint64 `json:"s"` // hash of host, path and caller
	Body  uint64 `json:"b"`
}

// ScopeOf returns the scope shared by the requests of one caller to one path.
func ScopeOf(host, path, caller string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{host, path, caller} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})  // separates the parts
	}
	return digest.Sum64()
}

// FingerprintOf returns the fingerprint of a request within a scope.
func FingerprintOf(scope uint64, body []byte) Fingerprint {
	return Fingerprint{Scope: scope, Body: xxhash.Sum64(body)}
}

// String returns the form used in logs and operators' commands.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.Scope, f.Body) }

// ParseFingerprint parses the form returned by String.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != 16 {
		return Fingerprint{}, errors.Newf("%q is not a fingerprint of 32 hexadecimal digits", text)
	}
	return Fingerprint{Scope: binary.BigEndian.Uint64(data), Body: binary.BigEndian.Uint64(data[8:])}, nil
}
