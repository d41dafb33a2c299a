package forward

import (
	"bufio"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
	"celeryport/httpwire"
	"celeryport/trickle"
)

// errTrickled means that the upstream sends bytes again and again that are no part of an answer.
var errTrickled = fmt.Errorf("the upstream sends bytes that are no part of an answer: %w", errMoved)

// leaveTrickle moves the call if its upstream sends bytes that have completed no part of the answer for longer than a
// sound one is silent, or than the answer may take to begin. The error ends the send; without another upstream the
// call stays.
func (w *silenceWatch) leaveTrickle(now time.Time) error {
	s, meter := w.s, &w.s.conn.liveness.meter
	if now.Before(w.trickleRetryAt) || w.ctx.Err() != nil || !s.stalls(now, meter) {
		return nil
	}
	w.trickleRetryAt = now.Add(recheckInterval)
	w.refresh()
	w.state.Budget = s.x.server.budgets.AllowsRepeat(now, s.x.service.Name)
	d := w.state.Respond(now, failover.Overdue)
	if d.Action != failover.Move {
		return nil
	}
	s.trickles = true // what waits to be read does not keep the call
	defer func() { s.trickles = false }()
	if s.prepareMove(w.ctx, &w.state, d.Cause) {
		return errTrickled
	}
	return nil
}

// stalls reports whether the bytes that arrive show no progress for too long. An engine may send keep-alives for as
// long as it may be silent before its answer.
func (s *sending) stalls(now time.Time, meter *trickle.Meter) bool {
	switch {
	case meter.Trickles():
		return meter.Waited(now) >= failover.MaxSoundSilence || s.answerOverdue()
	case meter.KeptAlive():
		return s.x.service.Engine != nil && s.answerOverdue()
	default:
		return false
	}
}

// dataWaits reports whether data of the upstream waits that may be a part of the answer.
func (s *sending) dataWaits() bool { return !s.trickles && s.conn.conn.Readable() }

// trickled reports whether a send ended while its upstream sent bytes that are no part of an answer.
func (s *sending) trickled(err error) bool {
	return errors.Is(err, errTrickled) || isTimeout(err) && s.conn.liveness.meter.Trickles()
}

// wholeBody returns the body of an answer that is read as a whole, whose data is progress.
func (s *sending) wholeBody(head *httpwire.ResponseHead) *httpwire.Body {
	return meteredBody(s.conn.reader, head, &s.conn.liveness.meter)
}

func meteredBody(reader *bufio.Reader, head *httpwire.ResponseHead, meter *trickle.Meter) *httpwire.Body {
	rate := trickle.LeastRate
	if head.Body.Kind == httpwire.Sized || head.Status >= http.StatusMultipleChoices { // not written token by token
		rate = trickle.LeastWholeRate
	}
	meter.Body(rate)
	body := httpwire.NewBody(reader, head.Body)
	body.OnData = meter.Data
	return body
}
