package load

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

const (
	mostTries   = 5 // of work that was not run
	mostResends = 2 // of a call with a key whose outcome is unknown
	tryPause    = 100 * time.Millisecond
)

const (
	// reasonDeadline is the one refusal with 503 that holds for the whole fleet,
	// so that another instance need not be asked.
	reasonDeadline = string(verdict.ReasonDeadline)
	reasonDraining = string(verdict.ReasonDraining)
	reasonNoLease  = string(verdict.ReasonNoLease)
)

// caller makes the requests of all organisations as their callers would.
type caller struct {
	exchanger     *exchanger
	mix           *Mix
	keys          Keys
	books         map[string]*addressBook
	deadlineScale float64
	grace         time.Duration
	resendOneIn   int // calls with a key; 0: none
	tried         func(w *Work, o *Outcome)
}

// deadline is the time that the work has.
func (c *caller) deadline(w *Work) time.Duration {
	return time.Duration(float64(w.Class.Deadline) * c.deadlineScale)
}

// do makes one request and follows it to its end. One in a number of calls with
// an idempotency key is made twice at the same time, as by a caller that lost
// patience; what both were told counts as one outcome.
func (c *caller) do(ctx context.Context, w *Work, due time.Time) Outcome {
	if w.Key == "" || c.resendOneIn <= 0 || w.Number%c.resendOneIn != 0 {
		return c.follow(ctx, w, due)
	}
	other := make(chan Outcome, 1)
	go func() { other <- c.follow(ctx, w, due) }()
	first := c.follow(ctx, w, due)
	return joined(first, <-other)
}

// follow makes one request and follows it to its end. It sends again only what
// was not run, and a call with an idempotency key under the same key.
func (c *caller) follow(ctx context.Context, w *Work, due time.Time) Outcome {
	until := due.Add(c.deadline(w))
	unknown := false
	resends := 0
	for tries := 1; ; tries++ {
		o := c.try(ctx, w, due, until)
		c.tried(w, &o)
		o.Tries = tries
		o.Took = time.Since(due)
		unknown = unknown || o.Result == Failed && o.Verdict == verdict.MayHaveRun
		again := notRunHere(&o) && tries < mostTries
		if !again && w.Key != "" && unfinished(&o) && resends < mostResends {
			resends++
			again = true
		}
		if !again || !pause(ctx, time.Duration(tries)*tryPause, until) {
			return settle(o, unknown)
		}
	}
}

// settle gives the last outcome. After a try whose outcome is unknown, a later
// refusal does not say that the work was not run.
func settle(o Outcome, unknown bool) Outcome {
	if unknown && o.Result == Refused {
		o.Result = Failed
		o.Verdict = verdict.MayHaveRun
	}
	return o
}

// notRunHere reports whether another address may take what this one did not run.
func notRunHere(o *Outcome) bool {
	if o.Reason == reasonUnreachable {
		return true
	}
	return o.Result == Refused && o.Status == fasthttp.StatusServiceUnavailable && o.Reason != reasonDeadline
}

// takesNothing reports whether the address refuses all work for now.
func takesNothing(o *Outcome) bool {
	return o.Result == Refused && (o.Reason == reasonDraining || o.Reason == reasonNoLease)
}

// unfinished reports whether the connection ended without saying how the call
// ended.
func unfinished(o *Outcome) bool {
	return o.Reason == reasonBroken || o.Reason == reasonCutOff
}

// pause waits and reports whether time is left.
func pause(ctx context.Context, d time.Duration, until time.Time) bool {
	if time.Now().Add(d).After(until) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try sends the work once.
func (c *caller) try(ctx context.Context, w *Work, due, until time.Time) Outcome {
	book := c.books[w.Organisation]
	address, err := book.pick(ctx)
	if err != nil {
		return Outcome{Result: Refused, Reason: reasonUnreachable, Verdict: verdict.NotRun}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.prepare(request, address, w, until)
	e, err := c.exchanger.open(ctx, address, request, until.Add(c.grace))
	if err != nil {
		return c.notAnswered(book, address, err)
	}
	defer e.close()
	o := Outcome{
		Status:    e.response.StatusCode(),
		RequestID: string(e.response.Header.Peek(headerRequest)),
		Verdict:   verdict.Parse(string(e.response.Header.Peek(headerVerdict))),
	}
	c.read(e, w, due, &o)
	if takesNothing(&o) {
		book.failed(address)
	}
	return o
}

// prepare fills the request. Its time is what is left until the deadline.
func (c *caller) prepare(request *fasthttp.Request, address string, w *Work, until time.Time) {
	if w.isCall() {
		fillCall(request, c.mix.Service, w)
	} else {
		fillPrompt(request, c.mix.Model, w)
	}
	request.SetHost(address)
	h := &request.Header
	h.SetMethod(fasthttp.MethodPost)
	h.SetContentType("application/json")
	h.Set(fasthttp.HeaderAuthorization, bearer+c.keys[w.Organisation])
	h.Set(headerClass, w.Class.Name)
	h.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(until).Milliseconds()), 10))
	if w.Key != "" {
		h.Set(headerKey, w.Key)
		h.Set(headerNoRepeat, "true")
	}
}

// notAnswered judges an exchange without an answer.
func (c *caller) notAnswered(book *addressBook, address string, err error) Outcome {
	o := Outcome{Result: Failed, Reason: reasonBroken, Detail: err.Error()}
	switch {
	case errors.Is(err, ErrNotSent):
		o.Result, o.Reason, o.Verdict = Refused, reasonUnreachable, verdict.NotRun
	case errors.Is(err, ErrSilent):
		o.Result, o.Reason = Lost, reasonSilent
	}
	book.failed(address)
	return o
}
