package rpc

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// TransitPath is the path at a control address at which another instance opens a connection for
// calls that this instance handles for it.
const TransitPath = "/transit"

// TransitProtocol is the protocol of such a connection after the upgrade: HTTP/1.1 with the fields
// of package forward.
const TransitProtocol = "celeryport-transit"

// TransitUpgrade returns the request that upgrades a connection to the control address.
func TransitUpgrade(address, key string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n",
		TransitPath, address, bearer, key, TransitProtocol)
}

// TransitAccepted is the answer to a TransitUpgrade.
const TransitAccepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + TransitProtocol + "\r\n\r\n"

// AuthenticateTransit accepts only upgrades by an instance with the key of the fleet.
func AuthenticateTransit(keys Keys, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if keys.role(key) != Instance || r.Header.Get("Upgrade") != TransitProtocol {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the key is not accepted here"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
