package rpc

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/twitchtv/twirp"
)

// TransitPath is the path at a control address at which another instance opens a connection for
// calls that this instance handles for it.
const TransitPath = "/transit"

// TransitProtocol is the protocol of such a connection after the upgrade: HTTP/1.1 with the fields
// of package forward.
const TransitProtocol = "celeryport-transit"

// TransitAsk is what an instance states when it opens such a connection. Older instances state nothing.
type TransitAsk struct {
	Service string        // of the first call; empty: not stated
	Verify  bool          // the other instance is to make sure that it reaches an upstream of the service
	Within  time.Duration // an answer of an upstream shows that for this long at most; 0: not stated
	// Upstream is the key of an upstream of which the other instance is to say whether it has ended; zero: none.
	// Older instances do not read it.
	Upstream uint64
}

// TransitVerifyTimeout bounds how long an instance tries to reach an upstream before it answers.
const TransitVerifyTimeout = 150 * time.Millisecond

// StatusTransitReachesNone is the status of the answer of an instance that reaches no upstream of the
// service.
const StatusTransitReachesNone = http.StatusFailedDependency

// StatusTransitUpstreamEnded is the status of the answer of an instance that reaches the service, but finds the
// upstream in question to have ended.
const StatusTransitUpstreamEnded = http.StatusGone

// Names of the query parameters of an upgrade.
const (
	transitService  = "service"
	transitVerify   = "verify"
	transitWithin   = "within_ms"
	transitUpstream = "upstream"
)

// TransitAskOf decodes what the other instance states.
func TransitAskOf(r *http.Request) TransitAsk {
	query := r.URL.Query()
	ask := TransitAsk{Service: query.Get(transitService), Verify: query.Has(transitVerify)}
	if within, err := strconv.ParseUint(query.Get(transitWithin), 10, 31); err == nil {
		ask.Within = time.Duration(within) * time.Millisecond
	}
	if key, err := strconv.ParseUint(query.Get(transitUpstream), 16, 64); err == nil {
		ask.Upstream = key
	}
	return ask
}

// path returns the target of the upgrade.
func (a TransitAsk) path() string {
	query := url.Values{}
	if a.Service != "" {
		query.Set(transitService, a.Service)
	}
	if a.Verify {
		query.Set(transitVerify, "1")
	}
	if a.Within > 0 {
		query.Set(transitWithin, strconv.FormatInt(max(1, a.Within.Milliseconds()), 10))
	}
	if a.Upstream != 0 {
		query.Set(transitUpstream, strconv.FormatUint(a.Upstream, 16))
	}
	if len(query) == 0 {
		return TransitPath
	}
	return TransitPath + "?" + query.Encode()
}

// TransitUpgrade returns the request that upgrades a connection to the control address.
func TransitUpgrade(address, key string, ask TransitAsk) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n",
		ask.path(), address, bearer, key, TransitProtocol)
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
