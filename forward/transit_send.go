package forward

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/forward/telemetry"
	"celeryport/httpwire"
	"celeryport/membership"
	"celeryport/transit"
	"celeryport/trickle"
	"celeryport/verdict"
)

// An instance that has lost its paths to the upstreams of a service lets other instances handle the
// calls to it. The other instance handles such a call like one of its own callers; this one passes on
// its answer. A call is handed over once only.

// usesPeers reports whether other instances are to handle the call.
func (x *exchange) usesPeers() bool {
	return x.transit == nil && x.next == nil && !x.peersDeclined && x.server.fleet.paths.Lost(x.service.Name)
}

// sendThroughPeers lets another instance handle the call. It returns nil if none does; the call has
// then reached no upstream through them.
func (x *exchange) sendThroughPeers(ctx context.Context) *outcome {
	s := x.server
	tried := slices.Clone(x.brokenBy)
	var silent []string
	for began := time.Now(); time.Now().Before(x.deadline); {
		peer := s.fleet.transits.Choose(s.options.Plane.View().Instances, x.serving, tried, s.draw())
		if peer == nil && len(x.brokenBy) > 0 { // no other one handles the call
			tried, x.brokenBy = slices.DeleteFunc(tried, func(name string) bool { return slices.Contains(x.brokenBy, name) }), nil
			continue
		}
		if peer == nil {
			tried = slices.DeleteFunc(tried, func(name string) bool { return slices.Contains(silent, name) })
			peer = x.awaitSilentPeer(ctx, began, tried)
		}
		if peer == nil {
			break
		}
		tried, x.serving = append(tried, peer.Name), ""
		result, err := x.sendThrough(ctx, peer)
		answered := err == nil && result.err == nil // a caller may close its connection as soon as it has its answer
		if ctx.Err() != nil && !answered {
			return &outcome{verdict: verdict.MayHaveRun, err: ctx.Err()}
		}
		if err == nil {
			if result.err != nil && !result.final {
				x.brokenBy = append(x.brokenBy, peer.Name)
				if unsound(result.err) {
					s.fleet.transits.Decline(peer.Name)
				}
			}
			return result
		}
		if transit.IsSilent(err) {
			silent = append(silent, peer.Name)
		}
		refused := errors.Is(err, errTransitRefused)
		if !refused {
			s.fleet.transits.Decline(peer.Name)
		}
		s.options.Metrics.Transit(telemetry.TransitDeclined)
		eventTransitDeclined.Log(s.options.Log, event.Fields{"call": x.call.ID, "handler": peer.Name, "address": peer.ControlAddress, "error": err.Error()})
		if refused && !s.takeRepeat(time.Now(), x.service.Name) { // an upstream may have received the call, and rejected it
			return &outcome{verdict: verdict.NotRun, err: err, final: true}
		}
		if time.Since(began) >= connectTimeout && x.reachedNowhere(ctx) {
			break
		}
	}
	x.peersDeclined = true
	return nil
}

// reachedNowhere asks the other instances at once and reports whether none reaches the service. If each of them
// found that out with the call, it would be held for the sum of their times.
func (x *exchange) reachedNowhere(ctx context.Context) bool {
	for {
		found, known := x.server.others(x.service.Name)
		if known {
			x.serving = found.By
			return found.Others == transit.OthersReachNone
		}
		if !clock.Pause(ctx, contactPollInterval) {
			return false
		}
	}
}

// sendThrough sends the call to another instance and passes its answer on. An error means that the
// other instance does not handle the call, and that no upstream received it.
func (x *exchange) sendThrough(ctx context.Context, peer *membership.Instance) (*outcome, error) {
	transits, lostFor := x.server.fleet.transits, x.server.fleet.paths.LostFor(time.Now(), x.service.Name)
	conn, err := transits.Connect(ctx, peer.ControlAddress, x.service.Name, lostFor)
	if err != nil {
		return nil, err
	}
	t := &transitSend{x: x, peer: peer, conn: conn, sentAt: time.Now()}
	if !x.goesOnInStop(t.sentAt) {
		transits.Keep(peer.ControlAddress, conn)
		return &outcome{verdict: verdict.NotRun, err: errStopping, final: true}, nil
	}
	x.sentFrom = x.events
	stopWatch := context.AfterFunc(ctx, t.close)
	result, err := t.exchange(ctx)
	if ctx.Err() == nil && result != nil {
		more := event.Fields{"call": x.call.ID, "events": x.events}
		x.server.fleet.recordEndless(roadInstance, peer.Name, peer.ControlAddress, result.err, t.meter.Trickles(), more)
	}
	if !stopWatch() || !t.clean {
		t.close()
	} else {
		transits.Keep(peer.ControlAddress, conn)
	}
	if err != nil {
		return nil, err
	}
	x.sends++
	x.handler = peer.Name
	x.ran = x.ran || result.verdict != verdict.NotRun
	x.server.options.Metrics.Transit(telemetry.TransitSent)
	x.server.budgets.RecordHandedOver(time.Now(), x.service.Name)
	return result, nil
}

// transitSend is one send of a call to another instance.
type transitSend struct {
	x      *exchange
	peer   *membership.Instance
	conn   *transit.Conn
	sentAt time.Time
	meter  trickle.Meter
	clean  bool // the connection can carry another call
}

func (t *transitSend) close() { _ = t.conn.Close() } // the connection is not used again

var (
	errTransitDeclined = errors.New("the instance does not handle the call")
	// errTransitRefused means that the other instance has refused a call whose answer has begun.
	errTransitRefused = errors.New("the instance refuses the call")
)

// exchange writes the call and passes the answer on.
func (t *transitSend) exchange(ctx context.Context) (*outcome, error) {
	x := t.x
	if err := t.write(); err != nil {
		return nil, errors.Wrap(err, "write the call") // an incomplete call is not handled
	}
	reader := bufio.NewReaderSize(&peerReader{t: t}, upstreamBuffer)
	head, err := httpwire.ReadResponseHead(reader, defaultHeaderBytes, x.call.Method)
	if err != nil {
		return &outcome{verdict: verdict.MayHaveRun, err: errors.Wrap(err, "read the answer of another instance"), reached: true}, nil
	}
	t.meter.Part()
	answer := x.server.options.Dialect.DecodeAnswer(head)
	own := answer.CallID == x.call.ID || answer.CallID == "" // a call that was not read is refused without its ID
	if refusal := transit.DecodeRefusal(head.Fields); refusal != nil && !answer.Genuine && own {
		return t.refused(head, reader, refusal) // only answers of upstreams are genuine
	}
	switch {
	case answer.CallID != x.call.ID || !answer.Genuine:
		return &outcome{verdict: verdict.MayHaveRun, err: errNotGenuine, reached: true}, nil
	case head.Status < http.StatusOK || head.Status >= http.StatusMultipleChoices:
		return t.failed(ctx, head, reader), nil
	case x.route.Stream:
		return t.stream(ctx, head, reader), nil
	default:
		return t.whole(ctx, head, reader), nil
	}
}

func (t *transitSend) write() error {
	x := t.x
	lastEvent, resumes := x.received.Last()
	head := x.server.options.Dialect.TransitHead(x.call, lastEvent, resumes)
	info := transit.Call{
		From: x.server.options.Process.Name, Revision: x.revision, Sends: max(1, x.maxSends()-x.failed.Counted()), Waited: time.Since(x.began),
		Events: x.events,
	}
	if x.answerBegun() {
		first := x.received.First()
		info.Paused, info.Status, info.Type = time.Since(x.eventAt), first.Status, first.Type
	}
	head.Fields = append(httpwire.Fields{info.Field()}, head.Fields...) // before a field of that name from the caller
	head.Body = httpwire.Framing{Kind: httpwire.Sized, Length: int64(len(x.body))}
	if err := t.conn.SetWriteDeadline(x.deadline); err != nil {
		return err
	}
	buffers := message(head.Append(nil), x.body)
	_, err := t.conn.WriteBuffers(&buffers)
	return err
}

// refused handles an answer that the other instance generated itself.
func (t *transitSend) refused(head *httpwire.ResponseHead, reader *bufio.Reader, r *transit.Refusal) (*outcome, error) {
	x := t.x
	if head.Body.Kind == httpwire.UntilClose {
		return t.broken(httpwire.ErrTruncated), nil // no instance sends it
	}
	text, err := t.body(head, reader).ReadAll(defaultHeaderBytes)
	t.clean = err == nil && !head.Close && reader.Buffered() == 0
	switch {
	case r.Declined && r.Verdict == verdict.NotRun:
		return nil, errors.Wrapf(errTransitDeclined, "%s", text)
	case x.answerBegun() && r.Verdict == verdict.NotRun:
		return nil, errors.Wrapf(errTransitRefused, "%s", text)
	case r.Declined:
		return &outcome{verdict: r.Verdict, err: errors.Wrapf(errTransitDeclined, "%s", text), reached: true, pathLost: true}, nil
	}
	failed := verdict.New(r.Verdict, r.Reason, "%s: %s", t.peer.Name, text).After(r.RetryAfter)
	return &outcome{verdict: r.Verdict, err: failed, reached: true, final: true}, nil
}

// failed handles a failure answer of an upstream.
func (t *transitSend) failed(ctx context.Context, head *httpwire.ResponseHead, reader *bufio.Reader) *outcome {
	failed, err := t.x.readFailure(ctx, head, t.body(head, reader))
	if err != nil {
		return t.broken(err)
	}
	t.clean = !head.Close && reader.Buffered() == 0
	return &outcome{verdict: verdict.Ran, err: errors.Wrapf(errOwnFailure, "status %d", head.Status), reached: true, final: true, ownFailure: failed}
}

// concludeTransit ends the call if its send through another instance was the last one, and reports
// whether it did.
func (x *exchange) concludeTransit(ctx context.Context, result *outcome) bool {
	switch {
	case result.err == nil:
		x.deliverWhole(result)
		x.recordServed()
	case x.logUndelivered():
	case ctx.Err() != nil:
		x.callerLeft()
	case result.final:
		x.abandon(result, result.err)
	default:
		x.logTransitFailed(result)
		err := x.mayRepeat(result)
		if err == nil {
			return false
		}
		x.abandon(result, err)
	}
	return true
}

func (x *exchange) logTransitFailed(o *outcome) {
	x.server.options.Metrics.Sent(x.service.Name, o.verdict.String())
	eventTransitFailed.Log(x.server.options.Log, event.Fields{
		"call": x.call.ID, "handler": x.handler, "verdict": o.verdict.String(), "error": o.err.Error(),
		"events": x.events, "after_ms": time.Since(x.began).Milliseconds(),
	})
}
