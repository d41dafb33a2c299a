package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/forward/telemetry"
	"celeryport/rpc"
	"celeryport/settings"
	"celeryport/verdict"
)

// transitHeadBytes is added to the limit of a caller's head for the field of the instance that
// received the call.
const transitHeadBytes = 1 << 10

// ServeTransit takes over a connection on which another instance sends the calls that this one
// handles for it, unless it reaches no upstream of the service that the other one names.
func (s *Server) ServeTransit(w http.ResponseWriter, r *http.Request) {
	ask := rpc.TransitAskOf(r)
	if ask.Verify && !s.canTell() {
		http.Error(w, "this instance handles no calls of others now", http.StatusServiceUnavailable)
		return
	}
	if !s.serves(r.Context(), ask) {
		s.options.Metrics.Transit(telemetry.TransitRefused)
		http.Error(w, "this instance reaches no upstream of the service", rpc.StatusTransitReachesNone)
		return
	}
	if s.findsEnded(r.Context(), ask) {
		http.Error(w, "the upstream has ended", rpc.StatusTransitUpstreamEnded)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "the connection can't be taken over", http.StatusInternalServerError)
		return
	}
	conn, buffers, err := hijacker.Hijack()
	if err != nil {
		eventAcceptFailed.Log(s.options.Log, event.Fields{"error": err})
		return
	}
	if err := acceptTransit(conn); err != nil {
		_ = conn.Close() // the other instance sends nothing on it
		return
	}
	s.serveCaller(&callerConn{server: s, conn: conn, reader: bufio.NewReaderSize(buffers.Reader, callerBuffer), transit: true})
}

func acceptTransit(conn net.Conn) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	_, err := io.WriteString(conn, rpc.TransitAccepted)
	return err
}

// errDeclined means that this instance does not handle a call for another one.
var errDeclined = errors.New("this instance does not handle the call")

func decline(reason verdict.Reason, text string) error {
	return verdict.Wrap(errDeclined, verdict.NotRun, reason, "%s", text)
}

// declineUnread returns why this instance handles no call for another one now, nil if it does or if
// the call is one of its own callers.
func (x *exchange) declineUnread(tree *settings.Tree) error {
	switch {
	case x.transit == nil:
		return nil
	case tree == nil || tree.Forwarding == nil || tree.Revision < x.transit.Revision:
		return decline(verdict.ReasonNoLease, "the settings here are older")
	case x.server.draining.Load() != nil:
		return decline(verdict.ReasonDraining, "this instance stops")
	default:
		return nil
	}
}

// handBack ends a call of another instance if the paths to the upstreams were lost while this one
// handled it, and reports whether it did. The other instance may send it elsewhere.
func (x *exchange) handBack() bool {
	if x.transit == nil || !x.server.fleet.paths.Lost(x.service.Name) {
		return false
	}
	v := verdict.NotRun
	if x.mayHaveRun() {
		v = verdict.MayHaveRun
	}
	x.refuse(verdict.Wrap(errDeclined, v, verdict.ReasonNoUpstream, "this instance can't reach the upstreams any more"))
	return true
}

// maxSends returns how many upstreams may receive the call.
func (x *exchange) maxSends() int {
	if x.transit != nil {
		return min(x.route.MaxSends, x.transit.Sends)
	}
	return x.route.MaxSends
}
