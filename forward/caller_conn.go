package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/bytebudget"
	"celeryport/callerconn"
	"celeryport/delivery"
	"celeryport/event"
	"celeryport/httpwire"
	"celeryport/transit"
	"celeryport/verdict"
)

// callerConn is one connection of a caller. Its calls are answered one after the other.
type callerConn struct {
	server       *Server
	conn         net.Conn
	reader       *bufio.Reader
	transit      bool          // the caller is another instance that hands over calls
	calls        int           // calls that were read completely
	openFor      time.Duration // for which the caller may take the connection for open after the last answer
	interruption callerconn.Interruption
	closing      sync.Once
	answered     atomic.Pointer[wholeAnswer] // the last answer, if it was written completely and no call has begun since
	ended        atomic.Bool                 // the sending half is closed
}

// callerBuffer is large enough for the head of a typical call.
const callerBuffer = 4 << 10

func newCallerConn(s *Server, conn net.Conn) *callerConn {
	return &callerConn{server: s, conn: conn, reader: bufio.NewReaderSize(conn, callerBuffer)}
}

// serve answers calls until the connection ends or has to be closed.
func (c *callerConn) serve() {
	defer c.close()
	for c.awaitCall() {
		if !c.serveCall() {
			break
		}
	}
	c.hold(false)
}

// serveCall reads and answers a call of which the first byte has arrived, and reports whether the
// connection can be reused. The call counts as in flight while it is being read, so that a drain waits for
// it.
func (c *callerConn) serveCall() bool {
	c.answered.Store(nil)
	began := c.server.beginCall()
	defer c.server.endCall()
	received, err := c.read(began)
	if err != nil {
		c.reject(began, err, nil, nil)
		return false
	}
	c.calls++
	w := &delivery.Writer{Conn: c.conn, Close: received.head.Close, Ending: c.mustEnd, Method: received.head.Method, IdleFor: c.stateIdle()}
	connected := c.answer(received, w)
	received.held.Release()
	if connected && w.Complete() && !w.Reusable() {
		c.linger()
	}
	return connected && w.Reusable()
}

// received is a call that was read completely.
type received struct {
	head  *httpwire.RequestHead
	body  []byte
	began time.Time // when its first byte arrived
	held  *bytebudget.Holding
}

// dropBody gives back the memory of the body.
func (r *received) dropBody() {
	r.body = nil
	r.held.Release()
}

// read reads a call whose first byte arrived at began. The caller may be idle for a long time before a
// call, but then has to send the head within the limit; otherwise a caller that sends its head very slowly
// could hold the connection indefinitely.
func (c *callerConn) read(began time.Time) (*received, error) {
	limits := callerLimits(c.server.options.Plane.View())
	if err := c.interruption.SetReadDeadline(c.conn, false, began.Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	headerBytes := limits.HeaderBytes
	if c.transit {
		headerBytes += transitHeadBytes
	}
	head, err := httpwire.ReadRequestHead(c.reader, headerBytes)
	if err != nil {
		return nil, err
	}
	if head.Fields.HasToken("Expect", "100-continue") {
		if err := delivery.Continue(c.conn); err != nil {
			return nil, err
		}
	}
	if err := c.interruption.SetReadDeadline(c.conn, false, began.Add(limits.HeaderTimeout+bodyTimeout)); err != nil {
		return nil, err
	}
	held, rest := c.server.bodies.Hold(), httpwire.NewBody(c.reader, head.Body)
	body, err := rest.ReadAllReserving(limits.BodyBytes, reserveBody(held))
	if reason := c.reasonUnread(err); reason != nil {
		held.Release()
		c.refuseUnread(head, rest, began, reason)
		return nil, errConnEnded
	}
	if err != nil {
		held.Release()
		c.reject(began, err, head, rest)
		return nil, errConnEnded
	}
	return &received{head: head, body: body, began: began, held: held}, nil
}

// reasonUnread returns why a call whose body could not be read is refused by this instance, nil if it is not.
func (c *callerConn) reasonUnread(err error) error {
	switch {
	case errors.Is(err, errNoRoom):
		return errBodiesFull
	case passedDeadline(err) && c.interruption.Stopped():
		return errStopping
	default:
		return nil
	}
}

// refuseUnread refuses a call whose body was not read, discards the rest of the body, and ends the
// connection. A caller that sends its whole body before it looks for an answer would not see the refusal
// otherwise, see linger. The read deadline of the connection must be set.
func (c *callerConn) refuseUnread(head *httpwire.RequestHead, rest io.Reader, began time.Time, reason error) {
	w := &delivery.Writer{Conn: c.conn, Close: true, Method: head.Method}
	x := &exchange{server: c.server, writer: w, call: &Call{}, began: began}
	if c.beginTransit(x, head) != nil {
		return // the other instance takes the connection for lost
	}
	if call, err := c.server.options.Dialect.DecodeCall(head); err == nil {
		x.call = call
	}
	if c.transit {
		failed := verdict.From(reason)
		reason = decline(failed.Reason, failed.Message)
	}
	x.refuse(reason)
	c.keepAnswered(x.call.ID, w)
	c.discard(rest)
}

// bodyTimeout is the time that a body may take in addition to the limit of the header: a body of
// 4 MB over a slow link takes a few seconds.
const bodyTimeout = 10 * time.Second

// errConnEnded means that the connection ended and that nothing is left to be said about it.
var errConnEnded = errors.New("connection ended")

// answer answers one call and reports whether the caller is still connected.
func (c *callerConn) answer(r *received, w *delivery.Writer) bool {
	s := c.server
	x := &exchange{server: s, writer: w, call: &Call{}, body: r.body, dropBody: r.dropBody, began: r.began}
	if c.beginTransit(x, r.head) != nil {
		return false // the other instance takes the connection for lost
	}
	call, err := s.options.Dialect.DecodeCall(r.head)
	if err != nil {
		x.refuse(err)
		c.keepAnswered("", w)
		return true
	}
	x.call = call
	ctx, leave, end := c.interruption.Answering()
	defer end()
	x.interrupted = func() bool { return callerconn.Interrupted(ctx) }
	watch := c.watch(leave)
	x.run(ctx)
	c.keepAnswered(call.ID, w)
	return watch.stop()
}

// mustEnd reports whether the connection has to be closed after the answer.
func (c *callerConn) mustEnd() bool { return c.server.isDraining() || c.interruption.Stopped() }

// beginTransit takes what another instance states about a call that it hands over from the call's
// head.
func (c *callerConn) beginTransit(x *exchange, head *httpwire.RequestHead) error {
	if !c.transit {
		return nil
	}
	var err error
	if x.transit, head.Fields, err = transit.TakeCall(head.Fields); err == nil {
		x.events, x.eventAt = x.transit.Events, x.began.Add(-x.transit.Paused)
		x.began = x.began.Add(-x.transit.Waited)
	}
	return err
}

// statusOf returns the status that answers a call which could not be read, 0 if the connection failed.
func statusOf(err error) int {
	if passedDeadline(err) {
		return http.StatusRequestTimeout
	}
	return httpwire.StatusOf(err)
}

// reject answers a call that could not be read, if the caller is still connected, and ends the
// connection, because the start of the next call on it is unknown. head is nil if it was not read; rest is what
// is left of the body, nil if that is not known.
func (c *callerConn) reject(began time.Time, err error, head *httpwire.RequestHead, rest io.Reader) {
	if errors.Is(err, errConnEnded) {
		return
	}
	status := statusOf(err)
	if status == 0 {
		c.logUnread(began, err, head)
		return
	}
	cause, fields := endedByCaller, textFields
	if passedDeadline(err) && c.interruption.Stopped() { // not the time-out of a slow caller
		cause, status, err = endedStopping, errStopping.Status(), errStopping
		fields = append(c.server.options.Dialect.RefusalFields(&Call{}, errStopping.RetryAfter), textFields...)
	}
	c.server.options.Metrics.Unreadable(status)
	name := c.nameOf(head)
	eventUnreadable.Log(c.server.options.Log, event.Fields{"caller": c.address(), "call": name, "cause": cause, "status": status, "error": err.Error()})
	if c.transit { // another instance may have other limits
		refusal := transit.Refusal{Declined: true, Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest}
		fields = append(httpwire.Fields{refusal.Field()}, fields...)
	}
	w := &delivery.Writer{Conn: c.conn, Close: true}
	w.Whole(&httpwire.ResponseHead{Status: status, Fields: fields}, []byte(err.Error()+"\n"))
	c.keepAnswered(name, w)
	c.discard(rest)
}

// discard reads the rest of the body of a call that was answered without it, nil if it is not known where the
// body ends, and ends the connection. The read deadline of the connection must be set.
func (c *callerConn) discard(rest io.Reader) {
	if rest != nil {
		_, _ = io.CopyN(io.Discard, rest, lingerBytes) // the call is answered, whatever arrives
	}
	c.linger()
}

// linger continues to read after the last answer, as long as the caller sends: closing a connection with unread
// bytes resets it, and the reset may overtake the answer.
func (c *callerConn) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		c.ended.Store(half.CloseWrite() == nil) // if it is not, the reads below still end at their deadlines
	}
	until := time.Now().Add(lingerLimit)
	for left := lingerBytes; left > 0; {
		silent := earlier(until, time.Now().Add(lingerTimeout))
		if c.conn.SetReadDeadline(silent) != nil { // also during a close, which has its own bound
			return
		}
		_, err := c.reader.Peek(1)
		if passedDeadline(err) && time.Now().Before(silent) { // a stop has moved the deadline
			continue
		}
		if err != nil {
			return
		}
		n, _ := c.reader.Discard(c.reader.Buffered()) // no error: these bytes have arrived
		left -= n
	}
}

const (
	lingerTimeout = 300 * time.Millisecond // without a byte from the caller
	lingerLimit   = 5 * time.Second
	lingerBytes   = 64 << 20
)

var textFields = httpwire.Fields{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}
