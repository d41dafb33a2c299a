package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// Role is the role of an authenticated caller.
type Role uint8

const (
	// Unknown is the role of callers without a valid key.
	Unknown Role = iota
	// Operator is the role of callers with an operator key.
	Operator
	// Instance is the role of callers with the instance key.
	Instance
)

type roleKey struct{}

// RoleOf returns the role of the caller from the context of a handler.
func RoleOf(ctx context.Context) Role {
	role, _ := ctx.Value(roleKey{}).(Role)
	return role
}

// WithRole returns a context with the role of the caller. Calls inside the process set it directly.
func WithRole(ctx context.Context, role Role) context.Context {
	return context.WithValue(ctx, roleKey{}, role)
}

// Keys are the keys accepted at a control address.
type Keys struct {
	Instance  string
	Operators []string
}

// digest returns a hash of fixed size, so that keys of any length are compared in constant time.
func digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// role returns the role of the presented key. It compares the key with all accepted
// keys even after a match, so that the response time reveals nothing about them.
func (k Keys) role(presented string) Role {
	role := Unknown
	sum := digest(presented)
	for _, key := range k.Operators {
		if matches(sum, key) {
			role = Operator
		}
	}
	if matches(sum, k.Instance) {
		role = Instance
	}
	return role
}

// matches never accepts the empty key, so that a key that is not configured grants no access.
func matches(sum [sha256.Size]byte, key string) bool {
	want := digest(key)
	return subtle.ConstantTimeCompare(sum[:], want[:]) == 1 && key != ""
}

const bearer = "Bearer "

// Authenticate rejects calls without a valid key and stores the role of the caller
// in the context of the others. Operators may call only Operate.
func Authenticate(keys Keys, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		role := keys.role(key)
		if role == Unknown || (role == Operator && !strings.HasSuffix(r.URL.Path, "/Operate")) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the key is not accepted here"))
			return
		}
		w.Header()["Date"] = nil // never read, because clocks are not assumed to be synchronised
		next.ServeHTTP(w, r.WithContext(WithRole(r.Context(), role)))
	})
}
