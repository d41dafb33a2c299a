package entry

import (
	"context"
	"sync"
	"time"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/upstream/client"
	"celeryport/verdict"
)

// exchange is one request on this instance, from its arrival to its single final
// answer. The goroutine of the HTTP handler waits for the answer, which a pool worker
// produces. The worker, the dispatcher, the deadline, a disconnect of the caller and
// the shutdown can each end the exchange; the first to do so decides the answer.
type exchange struct {
	request     *request.Request
	prompt      *completionBody // nil for a service call
	call        *serviceBody    // nil for a prompt
	receiver    *client.Receiver
	ctx         context.Context // cancelled when the exchange ends
	cancel      context.CancelFunc
	releaseBody func() // returns the reserved memory of the body

	mu              sync.Mutex
	unresolvedSends int  // sends that may have reached an upstream and are not proved not to have run
	claimed         bool // this exchange holds the claim on its key
	service         *client.ServiceAnswer
	text            []byte
	firstToken      time.Time
	ended           bool
	published       bool
	result          result
	wake            chan struct{} // buffered signal: text was added or the exchange ended
}

func newExchange(r *request.Request) *exchange {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	return &exchange{
		request:     r,
		receiver:    client.NewReceiver(r.ID),
		ctx:         ctx,
		cancel:      cancel,
		releaseBody: func() {},
		wake:        make(chan struct{}, 1),
	}
}

// beginSend records that bytes may be sent from now on. It returns false if the
// exchange has ended: its caller was told that it did not run, so it must not be sent
// any more.
func (e *exchange) beginSend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.unresolvedSends++
	return true
}

// confirmNotRun reverts beginSend after the upstream has proved that the send did not
// run. It reports whether this shows, after the end of the exchange, that the request did not
// run although its final answer says that it may have.
func (e *exchange) confirmNotRun() (late bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresolvedSends--
	return e.ended && e.unresolvedSends == 0 && e.result.verdict() == verdict.MayHaveRun
}

// appendText appends text to the answer.
func (e *exchange) appendText(now time.Time, text string) {
	if text == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	if e.firstToken.IsZero() {
		e.firstToken = now
	}
	e.text = append(e.text, text...)
	e.signal()
}

// end sets the final answer and reports whether this call did so; publish must
// follow. An exchange with an unresolved send never gets the verdict not-run.
func (e *exchange) end(now time.Time, r result) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.ended = true
	r.endedAt = now
	r.firstToken = e.firstToken
	r.err = e.corrected(r.err)
	e.result = r
	e.cancel()
	return true
}

// publish makes the final answer available to the handler.
func (e *exchange) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.published = true
	e.signal()
}

func (e *exchange) corrected(err *verdict.Error) *verdict.Error {
	if err == nil || e.unresolvedSends == 0 || err.Verdict != verdict.NotRun {
		return err
	}
	corrected := *err
	corrected.Verdict = verdict.MayHaveRun
	return &corrected
}

// servedResult is the final answer after a successful send.
func (e *exchange) servedResult(outcome dispatch.Outcome) result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return result{service: e.service, answerTokens: outcome.AnswerTokens, cachedTokens: outcome.CachedTokens}
}

func (e *exchange) setService(answer *client.ServiceAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service = answer
}

// failure returns the error for an end that this instance decides by itself, with the
// verdict that the state of the exchange allows.
func (e *exchange) failure(reason verdict.Reason, message string) *verdict.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresolvedSends > 0 {
		return verdict.New(verdict.MayHaveRun, reason, "%s", message)
	}
	return verdict.New(verdict.NotRun, reason, "%s", message)
}

// withOwnVerdict corrects a verdict of the dispatcher by the state of the exchange.
// The dispatcher counts a request as sent as soon as it has decided to send it, but
// nothing is sent while its claim is pending or if no worker is free.
func (e *exchange) withOwnVerdict(err *verdict.Error) *verdict.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresolvedSends > 0 || err.Verdict != verdict.MayHaveRun {
		return err
	}
	own := *err
	own.Verdict = verdict.NotRun
	return &own
}

// markClaimed records that this exchange holds the claim on its key. It returns false
// if the exchange has already ended.
func (e *exchange) markClaimed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.claimed = true
	return true
}

func (e *exchange) holdsClaim() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimed
}

// hasText reports whether any text of the answer has arrived.
func (e *exchange) hasText() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.firstToken.IsZero()
}

// sinceFirstToken returns the time from start to the first token, or 0 if there was
// none.
func (e *exchange) sinceFirstToken(start time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstToken.IsZero() {
		return 0
	}
	return max(1, e.firstToken.Sub(start))
}

// next waits for text or the end and returns the new text and whether the exchange
// has ended. outcome is valid only after the end.
func (e *exchange) next(timeout <-chan time.Time) (text []byte, ended bool) {
	select {
	case <-e.wake:
	case <-timeout:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	text, e.text = e.text, nil
	return text, e.published
}

// outcome returns the final answer; valid once next has reported the end.
func (e *exchange) outcome() result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.result
}

// signal must be called with the lock held.
func (e *exchange) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
