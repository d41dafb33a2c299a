package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/settings"
	"celeryport/verdict"
)

// outcome says what came of one send. Without an error the caller has the whole
// answer.
type outcome struct {
	verdict verdict.Verdict
	err     error
	reached bool  // bytes of the call may have reached the upstream
	phase   phase // how far the send had come
	kind    sendKind
	checked <-chan struct{} // closed when it is known whether the upstream ended, where that decides on a repeat; else nil
	held    *heldAnswer     // a whole answer of the upstream that is a failure

	elsewhere bool  // another engine than the one that the call was sent to is at fault
	helper    *node // that one, if it is known
}

// heldAnswer is an upstream's failure that the caller gets if no other send does
// better.
type heldAnswer struct {
	status int
	reason string
	fields httpwire.Fields
	body   []byte
}

// The ways in which a send fails.
var (
	errSilent     = errors.New("the upstream sends nothing and takes no connection")
	errNotRun     = errors.New("the upstream rejected the call")
	errElsewhere  = errors.New("another incarnation answers at the address")
	errNotGenuine = errors.New("the answer is not one of an upstream that ran the call")
	errStray      = errors.New("the upstream sent answers of other calls")
	errOwnFailure = errors.New("the upstream answered with a failure")
	errOrder      = errors.New("the events of the answer do not follow each other")
)

// sending is one send under way.
type sending struct {
	x      *exchange
	node   *node
	conn   *upstreamConn
	work   *work
	sent   chan error // result of writing the call
	begun  bool       // the first event came
	phase  phase
	sentAt time.Time
	headAt time.Time // when the head of the answer came
	clean  bool      // the connection can carry another call
	idle   time.Duration
}

// send sends the call to a node and hands the answer to the caller.
func (x *exchange) send(ctx context.Context, w *work) *outcome {
	fleet, n := x.server.fleet, w.lead
	defer fleet.end(w)
	if len(w.memory) > 0 {
		if helper, err := fleet.reserve(ctx, w); err != nil {
			return &outcome{verdict: verdict.NotRun, err: err, elsewhere: true, helper: helper}
		}
		defer fleet.release(w)
	}
	conn, err := fleet.connect(ctx, n, false)
	if err != nil {
		if ctx.Err() == nil {
			fleet.suspect(n, err)
		}
		return &outcome{verdict: verdict.NotRun, err: err}
	}
	if at, why := fleet.withdrawn(w); at != nil {
		conn.close()
		x.server.options.Metrics.withdrew(x.service.Name, kindOf(w, x.sends))
		return withdrawnOutcome(w, at, why)
	}
	x.sends++
	s := &sending{x: x, node: n, conn: conn, work: w}
	stop := context.AfterFunc(ctx, conn.close)
	fleet.occupy(n, conn)
	result := s.exchange(ctx)
	result.phase = s.phase
	fleet.vacate(n, conn)
	if ctx.Err() == nil && endedByPeer(result.err) {
		x.server.options.Metrics.brokeOff(x.service.Name, s.phase)
		broken := brokenSend{request: x.fingerprint, phase: s.phase, ran: s.ran(), whole: !x.route.Stream, silent: errors.Is(result.err, errSilent)}
		if checked := fleet.brokeOff(n, broken); broken.mayBeCause() {
			result.checked = checked
		}
	}
	if !stop() || !s.clean {
		conn.close()
	} else {
		fleet.keep(n, conn, s.idle)
	}
	if result.verdict != verdict.NotRun {
		x.ran = true
	}
	return result
}

// withdrawnOutcome is that of a send of which an engine came to want nothing more before it was
// sent.
func withdrawnOutcome(w *work, at *node, why error) *outcome {
	if at == w.lead {
		return &outcome{verdict: verdict.NotRun, err: why}
	}
	return &outcome{verdict: verdict.NotRun, err: errors.Wrapf(why, "the helper at %s", at.address), elsewhere: true}
}

// ran returns how long ago the upstream was seen to begin with the call; 0 if it was not.
func (s *sending) ran() time.Duration {
	if s.headAt.IsZero() {
		return 0
	}
	return time.Since(s.headAt)
}

// exchange writes the call and reads the answer.
func (s *sending) exchange(ctx context.Context) *outcome {
	x := s.x
	s.conn.patient.deadline = x.deadline
	s.conn.patient.silence = x.patience()
	s.sentAt = time.Now()
	s.conn.patient.there = func() bool { return !s.hung() && x.server.fleet.there(ctx, s.node) }
	s.write()
	head, answer, err := s.readHead()
	if err != nil {
		return s.failed(err)
	}
	s.phase, s.headAt = phaseStarted, time.Now()
	if head.Status >= http.StatusOK && head.Status < http.StatusMultipleChoices {
		return s.success(head, answer)
	}
	return s.rejection(head, answer)
}

// hung reports whether the upstream should have begun to answer long ago, although
// it may still take connections. It is reported as failing; a call that may run again
// goes elsewhere, any other waits on.
func (s *sending) hung() bool {
	x := s.x
	if s.begun || time.Since(s.sentAt) < x.overdue() {
		return false
	}
	x.server.fleet.failing(s.node)
	return x.route.Repeat != settings.Never
}

// largeBody is the size from which on a call is written beside the reading: the
// upstream may answer before it has read all of it, and a pipe that is full in
// both directions would stand still.
const largeBody = 32 << 10

// write sends the call.
func (s *sending) write() {
	x := s.x
	head := x.server.options.Dialect.SendHead(x.call, &Send{
		Incarnation:  s.node.name,
		Organisation: x.organisation,
		Left:         time.Until(x.deadline),
		ResumeAfter:  x.lastEvent,
		Resumes:      x.hasEvent,
		Helpers:      s.work.helperList(),
	})
	if len(x.body) > 0 || x.call.Method == http.MethodPost || x.call.Method == http.MethodPut {
		head.Body = httpwire.Framing{Kind: httpwire.Sized, Length: int64(len(x.body))}
	}
	message := append(head.Append(nil), x.body...)
	s.sent = make(chan error, 1)
	send := func() {
		err := s.conn.conn.SetWriteDeadline(x.deadline)
		if err == nil {
			_, err = s.conn.conn.Write(message)
		}
		s.sent <- err
	}
	if len(message) > largeBody {
		go send()
		return
	}
	send()
}

// written reports whether the whole call was written; it does not wait for long.
func (s *sending) written() bool {
	select {
	case err := <-s.sent:
		s.sent <- err
		return err == nil
	default:
		return false
	}
}

// strayAnswers is how many answers of other calls are passed over before one's
// own. An upstream may send an answer twice, the second time late.
const strayAnswers = 3

// readHead reads the head of this call's answer.
func (s *sending) readHead() (*httpwire.ResponseHead, Answer, error) {
	for range strayAnswers {
		head, err := httpwire.ReadResponseHead(s.conn.reader, defaultHeaderBytes, s.x.call.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := s.x.server.options.Dialect.DecodeAnswer(head)
		s.x.server.fleet.noteAnswer(s.node, &answer)
		if answer.CallID == s.x.call.ID || answer.CallID == "" && (answer.NotRun || answer.Elsewhere) {
			s.x.server.fleet.noteAccepted(s.node, &answer, s.sentAt)
			return head, answer, nil
		}
		if _, err := io.Copy(io.Discard, httpwire.NewBody(s.conn.reader, head.Body)); err != nil {
			return nil, Answer{}, err
		}
	}
	return nil, Answer{}, errStray
}

// failed classifies a broken send.
func (s *sending) failed(err error) *outcome {
	if errors.Is(err, errSilent) {
		return &outcome{verdict: verdict.MayHaveRun, err: err, reached: true}
	}
	return &outcome{verdict: verdict.MayHaveRun, err: errors.Wrap(err, "read the answer"), reached: true}
}

// rejection handles an answer that is no success.
func (s *sending) rejection(head *httpwire.ResponseHead, answer Answer) *outcome {
	body, err := s.readAll(head)
	if err == nil {
		s.finish(head, answer)
	}
	switch {
	case answer.Elsewhere:
		s.x.server.fleet.misdirected(s.node)
		return &outcome{verdict: verdict.NotRun, err: errElsewhere, reached: true}
	case answer.NotRun && answer.AtFault != "" && answer.AtFault != s.node.address:
		helper := s.work.helperAt(answer.AtFault)
		if helper != nil {
			s.x.server.fleet.refusedHelp(helper)
		}
		return &outcome{
			verdict: verdict.NotRun, err: errors.Wrapf(errNotRun, "for want of the helper at %s", answer.AtFault),
			reached: true, elsewhere: true, helper: helper,
		}
	case answer.NotRun:
		return &outcome{verdict: verdict.NotRun, err: errors.Wrapf(errNotRun, "status %d", head.Status), reached: true}
	case err != nil:
		return s.failed(err)
	}
	if s.x.service.Engine != nil {
		s.x.server.fleet.failing(s.node)
	} else {
		s.x.server.fleet.answered(s.node)
	}
	o := &outcome{verdict: verdict.Ran, err: errors.Wrapf(errOwnFailure, "status %d", head.Status), reached: true}
	if answer.Genuine && !promisesNotRun(head.Status) && !answer.Encoded {
		o.held = &heldAnswer{status: head.Status, reason: head.Reason, fields: head.Fields.EndToEnd(), body: body}
	}
	return o
}

// maxHeldBytes bounds an answer that is read whole before the caller gets it.
const maxHeldBytes = 8 << 20

func (s *sending) readAll(head *httpwire.ResponseHead) ([]byte, error) {
	return httpwire.NewBody(s.conn.reader, head.Body).ReadAll(maxHeldBytes)
}

// finish decides whether the connection can carry another call: only when the
// call was written whole and nothing follows the answer.
func (s *sending) finish(head *httpwire.ResponseHead, answer Answer) {
	s.idle = answer.IdleFor
	s.clean = !head.Close && s.written() && s.conn.reader.Buffered() == 0
}

// success hands a success to the caller.
func (s *sending) success(head *httpwire.ResponseHead, answer Answer) *outcome {
	if !answer.Genuine || answer.Encoded {
		return &outcome{verdict: verdict.MayHaveRun, err: errNotGenuine, reached: true}
	}
	if s.x.route.Stream {
		return s.stream(head, answer)
	}
	body, err := s.readAll(head)
	if err != nil {
		return s.failed(err)
	}
	s.finish(head, answer)
	x := s.x
	x.server.fleet.answered(s.node)
	x.firstAt = time.Now()
	x.writer.whole(&httpwire.ResponseHead{Status: head.Status, Reason: head.Reason, Fields: head.Fields.EndToEnd()}, body)
	x.server.options.Metrics.sent(x.service.Name, verdict.Ran.String())
	return &outcome{verdict: verdict.Ran, reached: true}
}
