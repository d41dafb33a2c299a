package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/httpwire"
	"celeryport/paths"
	"celeryport/settings"
	"celeryport/trickle"
	"celeryport/verdict"
)

// Errors of a failed send.
var (
	errUncheckedEnd     = errors.New("the end of the answer could not be checked")
	errSilent           = errors.New("the send was given up because the upstream is silent")
	errNotRun           = errors.New("the upstream rejected the call")
	errWrongIncarnation = errors.New("another incarnation answers at the address")
	errNotGenuine       = errors.New("the answer is not one of an upstream that ran the call")
	errStray            = errors.New("the upstream sent answers of other calls")
	errOwnFailure       = errors.New("the upstream answered with a failure")
	errMoved            = errors.New("the call moves to another engine because its upstream is silent")
)

// sending is the progress of one send on its connection.
type sending struct {
	x           *exchange
	node        *node
	conn        *upstreamConn
	work        *work
	sent        chan error // result of writing the call
	begun       bool       // the first event has arrived
	phase       phase
	sentAt      time.Time
	headAt      time.Time // when the head of the answer arrived
	begunAt     time.Time // when the first event arrived
	endedAt     time.Time // when the answer ended, if the check of its end has found it broken off
	failing     bool      // the upstream was recorded as failing
	stalled     bool      // the stream was recorded as stalled
	sound       bool      // the upstream has written the answer for longer than a request that crashes it would allow
	lastEventAt time.Time // when the last event arrived, also one that the caller had already
	clean       bool      // the connection can carry another call
	idle        time.Duration
	idleEvents  idleEvents
	back        *node // engine that the call returns to; nil: it moves to another one
	trickles    bool  // the call is about to leave an upstream that trickles
}

// send sends the call to a node and forwards the answer to the caller, except one that is read as a whole.
func (x *exchange) send(ctx context.Context, w *work) *outcome {
	fleet, n := x.server.fleet, w.lead
	defer fleet.end(w)
	if len(w.memory) > 0 {
		if helper, err := fleet.reserve(ctx, w); err != nil {
			return &outcome{verdict: verdict.NotRun, err: err, otherAtFault: true, helper: helper}
		}
		defer fleet.release(w)
	}
	conn, err := fleet.connectFor(ctx, n, x.call.ID)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, paths.ErrLost) {
			fleet.suspect(n, err)
		}
		return &outcome{verdict: verdict.NotRun, err: err}
	}
	if unavailable, cause := fleet.unavailableNode(w); unavailable != nil {
		conn.close()
		x.server.options.Metrics.SendWithdrawn(x.service.Name, kindOf(w, x.sends))
		return unavailableOutcome(w, unavailable, cause)
	}
	if !x.goesOnInStop(time.Now()) { // it may have waited for a place and the connection
		fleet.keep(n, conn, 0)
		return &outcome{verdict: verdict.NotRun, err: errStopping}
	}
	unused := !conn.used
	idle := time.Since(conn.idleAt)
	conn.polled, conn.used = false, true
	conn.carry(x.call.ID)
	x.sends++
	x.sentFrom = x.events
	s := &sending{x: x, node: n, conn: conn, work: w}
	stopWatch := context.AfterFunc(ctx, conn.close)
	fleet.occupy(n, conn)
	result := s.exchange(ctx)
	result.phase = s.phase
	fleet.vacate(n, conn)
	if by, failure := conn.conn.Failure(); failure != nil {
		x.server.options.Metrics.ConnectionFailed(x.service.Name, by)
	}
	if result.answered() || ctx.Err() == nil { // a caller may close its connection as soon as it has its answer
		s.recordOutcome(result)
	}
	if ctx.Err() == nil {
		trickles := conn.liveness.meter.Trickles()
		fleet.recordEndless(roadUpstream, n.name, n.address, result.err, trickles, event.Fields{"call": x.call.ID, "events": x.events})
	}
	if ctx.Err() == nil && x.writer.Failure() == nil && s.endedByPeer(result.err) {
		x.server.options.Metrics.SendBroken(x.service.Name, s.phase)
		if !errors.Is(result.err, errSilent) {
			fleet.paths.Ended(n.path())
		}
		broken := brokenSend{request: x.fingerprint, route: x.route.Name, parts: x.call.PromptParts, sentAt: s.sentAt, phase: s.phase, runTime: s.runTime(), whole: !x.route.Stream, silent: errors.Is(result.err, errSilent), unused: unused, idle: idle}
		result.ended = fleet.recordBroken(n, broken)
		if broken.mayBeCause() {
			result.checked = result.ended
		}
	}
	if !stopWatch() || !s.clean {
		conn.close()
	} else {
		fleet.keep(n, conn, s.idle)
	}
	if result.verdict != verdict.NotRun {
		x.ran = true
	}
	return result
}

// runTime returns the time since the head of the answer arrived, which shows that the upstream
// is running the call, until its end; 0 if none has arrived.
func (s *sending) runTime() time.Duration {
	switch {
	case s.headAt.IsZero():
		return 0
	case !s.endedAt.IsZero():
		return s.endedAt.Sub(s.headAt)
	default:
		return time.Since(s.headAt)
	}
}

// exchange writes the call and reads the answer.
func (s *sending) exchange(ctx context.Context) *outcome {
	x := s.x
	s.conn.liveness.deadline = x.deadline
	s.sentAt = time.Now()
	s.conn.liveness.watch, s.conn.liveness.meter = newSilenceWatch(ctx, s), trickle.Meter{}
	s.write()
	head, answer, err := s.readHead()
	if err != nil {
		return s.brokenOutcome(err)
	}
	s.phase, s.headAt = phaseStarted, time.Now()
	s.conn.liveness.meter.Part()
	if head.Status >= http.StatusOK && head.Status < http.StatusMultipleChoices {
		return s.handleSuccess(ctx, head, answer)
	}
	return s.handleRejection(ctx, head, answer)
}

// answerOverdue reports whether the upstream should have begun its answer long ago, although it accepts
// connections. It is recorded as failing, once, unless its known prefill explains the delay.
func (s *sending) answerOverdue() bool {
	x := s.x
	if s.begun || !x.route.Stream && s.phase != phaseUnanswered || time.Since(s.sentAt) < x.hangTimeout() {
		return false
	}
	if x.route.Patience <= 0 || x.server.fleet.prefillTime(time.Now(), s.node) <= 0 {
		s.recordOverdue()
	}
	return x.route.Repeat != settings.RepeatNever
}

// brokenOutcome returns the outcome of a send that failed while its answer was read.
func (s *sending) brokenOutcome(err error) *outcome {
	if errors.Is(err, errSilent) {
		return &outcome{verdict: verdict.MayHaveRun, err: err, reached: true}
	}
	return &outcome{verdict: verdict.MayHaveRun, err: errors.Wrap(err, "read the answer"), reached: true}
}

// handleRejection handles an answer whose status is not a success.
func (s *sending) handleRejection(ctx context.Context, head *httpwire.ResponseHead, answer Answer) *outcome {
	failed, err := s.readFailed(ctx, head, answer)
	if err == nil && !answer.NotRun && !answer.WrongIncarnation {
		err = s.verifyEnd(ctx, head)
	}
	if err == nil {
		s.finish(head, answer)
	}
	helper := s.work.helperAt(answer.AtFault)
	switch {
	case answer.WrongIncarnation && helper == nil:
		s.x.server.fleet.recordReplaced(s.node)
		return &outcome{verdict: verdict.NotRun, err: errWrongIncarnation, reached: true}
	case answer.NotRun && answer.AtFault != "" && answer.AtFault != s.node.address:
		switch {
		case helper == nil:
		case s.work.freedAt(helper) && !answer.WrongIncarnation:
			helper = nil // it lacks only the memory that this instance has given up
		default:
			s.x.server.fleet.recordHelpRefusal(helper)
		}
		return &outcome{
			verdict: verdict.NotRun, err: errors.Wrapf(errNotRun, "for want of the helper at %s", answer.AtFault),
			reached: true, otherAtFault: true, helper: helper,
		}
	case answer.NotRun:
		return &outcome{verdict: verdict.NotRun, err: errors.Wrapf(errNotRun, "status %d", head.Status), reached: true, announced: answer.Rest > 0 || answer.Leaving}
	case err != nil:
		return s.brokenOutcome(err)
	}
	switch {
	case helper != nil: // shows nothing about the lead
	case s.x.service.Engine != nil:
		s.x.server.fleet.recordFailure(s.node)
	default:
		s.x.server.fleet.recordAnswer(s.node)
	}
	o := &outcome{verdict: verdict.Ran, err: errors.Wrapf(errOwnFailure, "status %d", head.Status), reached: true, status: head.Status, helper: helper}
	if answer.Genuine && !verdict.PromisesNotRun(head.Status) && !answer.Encoded {
		o.ownFailure = failed
	}
	return o
}

// maxWholeAnswerBytes bounds an answer that is read completely before it is forwarded.
const maxWholeAnswerBytes = 8 << 20

// finish determines whether the connection can carry another call: only if the call was written
// completely and no data follows the answer, which names the call, so that a second, late one is recognised.
func (s *sending) finish(head *httpwire.ResponseHead, answer Answer) {
	s.idle = answer.IdleFor
	s.clean = !head.Close && answer.CallID == s.x.call.ID && s.written() && s.conn.reader.Buffered() == 0
}

// handleSuccess forwards a successful stream to the caller, or reads another successful answer.
func (s *sending) handleSuccess(ctx context.Context, head *httpwire.ResponseHead, answer Answer) *outcome {
	if !answer.Genuine || answer.Encoded {
		return &outcome{verdict: verdict.MayHaveRun, err: errNotGenuine, reached: true}
	}
	if s.x.route.Stream {
		return s.stream(ctx, head, answer)
	}
	ctx, cancel := context.WithDeadline(ctx, s.x.deadline)
	defer cancel()
	whole, err := s.x.readWhole(ctx, head, s.wholeBody(head))
	if err != nil {
		return s.brokenOutcome(err)
	}
	if err := s.verifyEnd(ctx, head); err != nil {
		whole.held.Release()
		return s.brokenOutcome(err)
	}
	s.finish(head, answer)
	x := s.x
	x.server.fleet.recordAnswer(s.node)
	x.server.options.Metrics.Sent(x.service.Name, verdict.Ran.String())
	return &outcome{verdict: verdict.Ran, reached: true, whole: whole}
}
