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
	maxTries   = 5 // of a request that was not run
	maxResends = 2 // of a call with an idempotency key whose outcome is unknown
	retryDelay = 100 * time.Millisecond
)

const (
	// reasonDeadline is the only refusal with status 503 that applies to the whole
	// fleet, so that a retry at another instance is pointless.
	reasonDeadline = string(verdict.ReasonDeadline)
	reasonDraining = string(verdict.ReasonDraining)
	reasonNoLease  = string(verdict.ReasonNoLease)
)

// caller sends the requests of all organisations and retries as real callers would.
type caller struct {
	httpClient    *httpClient
	mix           *Mix
	keys          Keys
	addressCaches map[string]*addressCache
	deadlineScale float64
	grace         time.Duration
	resendOneIn   int // of the calls with an idempotency key, one in so many is sent twice; 0: none
	onTry         func(w *Work, o *Outcome)
}

// deadline returns the time within which the work has to be answered.
func (c *caller) deadline(w *Work) time.Duration {
	return time.Duration(float64(w.Class.Deadline) * c.deadlineScale)
}

// do makes one request and waits for its final outcome. One in resendOneIn calls
// with an idempotency key is sent twice concurrently, as by a caller that does not
// wait for the first answer; the two outcomes are combined into one.
func (c *caller) do(ctx context.Context, w *Work, due time.Time) Outcome {
	if w.Key == "" || c.resendOneIn <= 0 || w.Number%c.resendOneIn != 0 {
		return c.doWithRetries(ctx, w, due)
	}
	other := make(chan Outcome, 1)
	go func() { other <- c.doWithRetries(ctx, w, due) }()
	first := c.doWithRetries(ctx, w, due)
	return joinOutcomes(first, <-other)
}

// doWithRetries makes one request and waits for its final outcome. It retries only
// requests that were not run and, under the same key, calls with an idempotency key
// whose outcome is unknown.
func (c *caller) doWithRetries(ctx context.Context, w *Work, due time.Time) Outcome {
	until := due.Add(c.deadline(w))
	unknown := false
	resends := 0
	for tries := 1; ; tries++ {
		o := c.tryOnce(ctx, w, due, until)
		c.onTry(w, &o)
		o.Tries = tries
		o.Took = time.Since(due)
		unknown = unknown || o.Result == Failed && o.Verdict == verdict.MayHaveRun
		retry := canRetryElsewhere(&o) && tries < maxTries
		if !retry && w.Key != "" && outcomeUnknown(&o) && resends < maxResends {
			resends++
			retry = true
		}
		if !retry || !sleep(ctx, time.Duration(tries)*retryDelay, until) {
			return finalOutcome(o, unknown)
		}
	}
}

// finalOutcome returns the outcome of all tries. If an earlier try may have run, a
// later refusal does not mean that the work was not run.
func finalOutcome(o Outcome, unknown bool) Outcome {
	if unknown && o.Result == Refused {
		o.Result = Failed
		o.Verdict = verdict.MayHaveRun
	}
	return o
}

// canRetryElsewhere reports whether the request was not run and another instance may
// accept it.
func canRetryElsewhere(o *Outcome) bool {
	if o.Reason == reasonUnreachable {
		return true
	}
	return o.Result == Refused && o.Status == fasthttp.StatusServiceUnavailable && o.Reason != reasonDeadline
}

// refusesAllWork reports whether the instance currently refuses all work.
func refusesAllWork(o *Outcome) bool {
	return o.Result == Refused && (o.Reason == reasonDraining || o.Reason == reasonNoLease)
}

// outcomeUnknown reports whether the connection ended before the outcome of the call
// was received.
func outcomeUnknown(o *Outcome) bool {
	return o.Reason == reasonConnectionBroken || o.Reason == reasonCutOff
}

// sleep waits for d and reports whether it did. It does not wait if the deadline
// would pass, and stops when ctx is done.
func sleep(ctx context.Context, d time.Duration, until time.Time) bool {
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

// tryOnce sends the work once.
func (c *caller) tryOnce(ctx context.Context, w *Work, due, until time.Time) Outcome {
	cache := c.addressCaches[w.Organisation]
	address, err := cache.pick(ctx)
	if err != nil {
		return Outcome{Result: Refused, Reason: reasonUnreachable, Verdict: verdict.NotRun}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.prepare(request, address, w, until)
	e, err := c.httpClient.open(ctx, address, request, until.Add(c.grace))
	if err != nil {
		return c.outcomeWithoutAnswer(cache, address, err)
	}
	defer e.close()
	o := Outcome{
		Status:    e.response.StatusCode(),
		RequestID: string(e.response.Header.Peek(headerRequest)),
		Verdict:   verdict.Parse(string(e.response.Header.Peek(headerVerdict))),
	}
	c.read(e, w, due, &o)
	if refusesAllWork(&o) {
		cache.markFailed(address)
	}
	return o
}

// prepare fills the request. Its deadline header holds the time left.
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

// outcomeWithoutAnswer returns the outcome of an exchange that got no answer.
func (c *caller) outcomeWithoutAnswer(cache *addressCache, address string, err error) Outcome {
	o := Outcome{Result: Failed, Reason: reasonConnectionBroken, Detail: err.Error()}
	switch {
	case errors.Is(err, ErrNotSent):
		o.Result, o.Reason, o.Verdict = Refused, reasonUnreachable, verdict.NotRun
	case errors.Is(err, ErrTimeout):
		o.Result, o.Reason = Lost, reasonTimeout
	}
	cache.markFailed(address)
	return o
}
