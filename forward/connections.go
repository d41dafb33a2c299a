package forward

import (
	"net"
	"time"

	"celeryport/connlimit"
	"celeryport/httpwire"
	"celeryport/verdict"
)

// connectionsRetry is the Retry-After of a connection over the limit: the idle ones end within
// seconds, and another instance may have room at once.
const connectionsRetry = time.Second

var errConnectionsFull = verdict.Refuse(verdict.ReasonConnections, connectionsRetry, "this instance has as many connections as it may have")

// limitConnections bounds the connections of callers. Without a bound they would take the descriptors
// for the connections to upstreams, and further callers would wait without an answer.
func (s *Server) limitConnections(listener net.Listener) net.Listener {
	return connlimit.New(listener, connlimit.Options{
		Limit: s.options.Connections, Log: s.options.Log, Refuse: s.refuseConn, Refused: s.options.Metrics.OverLimit.Inc,
	})
}

// refuseConn reads the head of one call, so that the answer names the call, and refuses it.
func (s *Server) refuseConn(conn net.Conn) {
	c := newCallerConn(s, conn)
	began := time.Now()
	head, err := httpwire.ReadRequestHead(c.reader, callerLimits(s.options.Plane.View()).HeaderBytes)
	if err != nil {
		return // there is no call to refuse; the connection is closed
	}
	c.refuseUnread(head, httpwire.NewBody(c.reader, head.Body), began, errConnectionsFull)
}
