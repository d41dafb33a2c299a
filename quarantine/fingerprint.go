package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint identifies a request across retries and instances: two requests share it
// if their host, path, caller and body are the same. The ID and the deadline of a try are
// not part of it.
type Fingerprint struct {
	Scope uint64 `json:"s"` // of host, path and caller
	Body  uint64 `json:"b"`
}

// ScopeOf identifies the requests of one caller to one path.
func ScopeOf(host, path, caller string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{host, path, caller} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})  // keeps the parts apart
	}
	return digest.Sum64()
}

// FingerprintOf returns the fingerprint of a request within a scope.
func FingerprintOf(scope uint64, body []byte) Fingerprint {
	return Fingerprint{Scope: scope, Body: xxhash.Sum64(body)}
}

// String returns the form that logs and operators' commands show.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.Scope, f.Body) }

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != 16 {
		return Fingerprint{}, errors.Newf("%q is not a fingerprint of 32 hexadecimal digits", text)
	}
	return Fingerprint{Scope: binary.BigEndian.Uint64(data), Body: binary.BigEndian.Uint64(data[8:])}, nil
}
