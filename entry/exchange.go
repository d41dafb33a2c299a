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

// exchange is the life of one request on this instance, from its arrival to its
// one final answer. The handler's goroutine waits on it and a worker of a pool
// fills it; the worker, the dispatcher, the deadline, the caller's leaving and
// the shutdown may all end it. Whoever ends it first decides the answer.
type exchange struct {
	request  *request.Request
	prompt   *completionBody // nil for a service call
	call     *serviceBody    // nil for a prompt
	receiver *client.Receiver
	ctx      context.Context // ends with the exchange
	cancel   context.CancelFunc
	giveBack func() // frees the memory counted for the body

	mu         sync.Mutex
	sends      int  // sends of which bytes may have left, without a proof that they did not run
	claimed    bool // this exchange holds the claim on its key
	service    *client.ServiceAnswer
	text       []byte
	firstToken time.Time
	ended      bool
	published  bool
	result     result
	wake       chan struct{} // holds one signal: text was added or the exchange ended
}

func newExchange(r *request.Request) *exchange {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	return &exchange{
		request:  r,
		receiver: client.NewReceiver(r.ID),
		ctx:      ctx,
		cancel:   cancel,
		giveBack: func() {},
		wake:     make(chan struct{}, 1),
	}
}

// beginSend marks that bytes may leave from now on. It returns false if the
// exchange has ended: its caller was told that it was not run, so it must not be
// sent any more.
func (e *exchange) beginSend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.sends++
	return true
}

// provedNotRun takes beginSend back after the upstream's proof.
func (e *exchange) provedNotRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends--
}

// add appends text of the answer.
func (e *exchange) add(now time.Time, text string) {
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

// end fixes the final answer and reports whether this call did so; publish must
// follow.
// An exchange with bytes in flight never claims that it was not run.
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

// publish hands the final answer to the handler.
func (e *exchange) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.published = true
	e.signal()
}

func (e *exchange) corrected(err *verdict.Error) *verdict.Error {
	if err == nil || e.sends == 0 || err.Verdict != verdict.NotRun {
		return err
	}
	corrected := *err
	corrected.Verdict = verdict.MayHaveRun
	return &corrected
}

// served is the final answer after a send that succeeded.
func (e *exchange) served(outcome dispatch.Outcome) result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return result{service: e.service, answerTokens: outcome.AnswerTokens, cachedTokens: outcome.CachedTokens}
}

func (e *exchange) setService(answer *client.ServiceAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service = answer
}

// failure is the final answer for an end that this instance decides by itself,
// with the verdict that the state of the exchange allows.
func (e *exchange) failure(reason verdict.Reason, message string) *verdict.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sends > 0 {
		return verdict.New(verdict.MayHaveRun, reason, "%s", message)
	}
	return verdict.New(verdict.NotRun, reason, "%s", message)
}

// withOwnVerdict replaces the verdict of the dispatcher, which counts a request
// as sent from its decision on, by what is known here: while its claim was asked
// for, or no worker was free, no byte has left.
func (e *exchange) withOwnVerdict(err *verdict.Error) *verdict.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sends > 0 || err.Verdict != verdict.MayHaveRun {
		return err
	}
	own := *err
	own.Verdict = verdict.NotRun
	return &own
}

// setClaimed notes that this exchange holds the claim on its key, and reports
// false if it has ended already.
func (e *exchange) setClaimed() bool {
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

// sinceFirstToken is the time from start to the first token, 0 if there was none.
func (e *exchange) sinceFirstToken(start time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstToken.IsZero() {
		return 0
	}
	return max(1, e.firstToken.Sub(start))
}

// take waits until there is text or the end, and returns the new text and
// whether the exchange has ended. After the end, and only then, outcome is valid.
func (e *exchange) take(timeout <-chan time.Time) (text []byte, ended bool) {
	select {
	case <-e.wake:
	case <-timeout:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	text, e.text = e.text, nil
	return text, e.published
}

// outcome is the final answer; valid once take has reported the end.
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
