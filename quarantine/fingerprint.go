package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
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

// String returns the form that logs show.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.Scope, f.Body) }
