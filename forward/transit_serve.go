package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/rpc"
	"celeryport/verdict"
)

// transitHeadBytes is added to the limit of a caller's head for the field of the instance that
// received the call.
const transitHeadBytes = 1 << 10

// ServeTransit takes over a connection on which another instance sends the calls that this one
// handles for it.
func (s *Server) ServeTransit(w http.ResponseWriter, r *http.Request) {
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

// decline returns why this instance does not handle a call for another one, nil if it does.
func (x *exchange) decline() error {
	refuse := func(reason verdict.Reason, text string) error {
		return verdict.Wrap(errDeclined, verdict.NotRun, reason, "%s", text)
	}
	switch {
	case x.transit == nil:
		return nil
	case x.revision < x.transit.revision:
		return refuse(verdict.ReasonNoLease, "the settings here are older")
	case x.server.draining.Load() != nil:
		return refuse(verdict.ReasonDraining, "this instance stops")
	case x.server.fleet.pathsLost(x.service.Name):
		return refuse(verdict.ReasonNoUpstream, "this instance can't reach the upstreams either")
	default:
		return nil
	}
}

// handBack ends a call of another instance if the paths to the upstreams were lost while this one
// handled it, and reports whether it did. The other instance may send it elsewhere.
func (x *exchange) handBack() bool {
	if x.transit == nil || !x.server.fleet.pathsLost(x.service.Name) {
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
		return min(x.route.MaxSends, x.transit.sends)
	}
	return x.route.MaxSends
}
