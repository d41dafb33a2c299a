package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// Role says who calls.
type Role uint8

const (
	// Unknown callers presented no valid key.
	Unknown Role = iota
	// Operator callers presented an operator key.
	Operator
	// Instance callers presented the instance key.
	Instance
)

type roleKey struct{}

// RoleOf returns the role of the caller of a handler.
func RoleOf(ctx context.Context) Role {
	role, _ := ctx.Value(roleKey{}).(Role)
	return role
}

// WithRole marks a context, for calls that stay inside the process.
func WithRole(ctx context.Context, role Role) context.Context {
	return context.WithValue(ctx, roleKey{}, role)
}

// Keys are the keys that a control address accepts.
type Keys struct {
	Instance  string
	Operators []string
}

// digest makes keys of all lengths comparable in constant time.
func digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// role compares the presented key with every known one, whatever matches, so
// that the time taken says nothing about the keys.
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

// matches refuses the empty key: a key that is not set admits nobody.
func matches(sum [sha256.Size]byte, key string) bool {
	want := digest(key)
	return subtle.ConstantTimeCompare(sum[:], want[:]) == 1 && key != ""
}

const bearer = "Bearer "

// Authenticate refuses callers without a valid key and notes the role of the
// others. Operators reach Operate only.
func Authenticate(keys Keys, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		role := keys.role(key)
		if role == Unknown || (role == Operator && !strings.HasSuffix(r.URL.Path, "/Operate")) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the key is not accepted here"))
			return
		}
		w.Header()["Date"] = nil // clocks need not agree, so nobody reads it
		next.ServeHTTP(w, r.WithContext(WithRole(r.Context(), role)))
	})
}
