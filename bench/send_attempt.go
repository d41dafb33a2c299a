package bench

import (
	"time"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/standin/enginemodel"
	"celeryport/verdict"
)

// sendAttempt is one attempt to run a request: sent by an instance, run on one
// engine or a span of engines, and reported back.
type sendAttempt struct {
	instance *instance
	request  *request.Request
	number   uint32
	parts    []dispatch.Part
	priority int
	sentAt   time.Duration
	reserved int // number of leading parts that hold a reservation
	done     bool
	started  bool
}

// Span parameters.
const (
	spanLease         = 10 * time.Second
	spanRenewInterval = 3 * time.Second
	spanEfficiency    = 0.8 // speedup over one engine of a prompt that is spread over k engines, divided by k
)

func (attempt *sendAttempt) id() string {
	return jobID(attempt.instance.name, attempt.request.ID, attempt.number)
}

func (attempt *sendAttempt) host(part int) *host {
	return attempt.instance.simulation.hosts[attempt.parts[part].Name]
}

// arrive handles the arrival of the attempt at the upstream: it reserves a span
// or submits the job to the only engine.
func (attempt *sendAttempt) arrive() {
	if attempt.done {
		return
	}
	if len(attempt.parts) > 1 {
		attempt.reserve(0)
		return
	}
	job := attempt.job()
	job.MemoryTokens = 0
	if !attempt.sameIncarnation(0) || !attempt.host(0).submit(attempt, job) {
		attempt.fail(verdict.NotRun)
	}
}

func (attempt *sendAttempt) sameIncarnation(part int) bool {
	h := attempt.host(part)
	return !h.down && h.incarnation == attempt.parts[part].Incarnation
}

func (attempt *sendAttempt) job() enginemodel.Job {
	r := attempt.request
	return enginemodel.Job{
		ID: attempt.id(), Owner: attempt.instance.name, Priority: attempt.priority,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		PrefixHash: r.PrefixHash, PrefixTokens: r.PrefixTokens,
	}
}

// reserve reserves the parts one after the other, in the order of the placement,
// and releases all of them if one is not granted.
func (attempt *sendAttempt) reserve(part int) {
	if attempt.done {
		return
	}
	if part == len(attempt.parts) {
		attempt.startSpan()
		return
	}
	if !attempt.reservePart(part) {
		attempt.release()
		attempt.fail(verdict.NotRun)
		return
	}
	attempt.reserved = part + 1
	attempt.instance.simulation.after(2*networkDelay, func() { attempt.reserve(part + 1) })
}

func (attempt *sendAttempt) reservePart(part int) bool {
	if !attempt.sameIncarnation(part) {
		return false
	}
	h := attempt.host(part)
	granted, _ := h.engine.Reserve(attempt.instance.simulation.time(), attempt.id(), attempt.instance.name, attempt.parts[part].Tokens, spanLease)
	h.advance()
	return granted
}

func (attempt *sendAttempt) startSpan() {
	lead := attempt.lead()
	job := attempt.job()
	job.MemoryTokens = attempt.parts[lead].Tokens
	job.SpanSpeedup = spanEfficiency * float64(len(attempt.parts))
	if !attempt.sameIncarnation(lead) || !attempt.host(lead).submit(attempt, job) {
		attempt.release()
		attempt.fail(verdict.NotRun)
		return
	}
	attempt.instance.simulation.after(spanRenewInterval, attempt.renew)
}

func (attempt *sendAttempt) lead() int {
	for i := range attempt.parts {
		if attempt.parts[i].Lead {
			return i
		}
	}
	return 0
}

// renew renews the reservations of a running span. If one cannot be renewed, the
// span is cancelled and the attempt fails.
func (attempt *sendAttempt) renew() {
	if attempt.done {
		return
	}
	for part := range attempt.parts {
		if part != attempt.lead() && !attempt.reservePart(part) {
			attempt.cancel()
			attempt.fail(verdict.MayHaveRun)
			return
		}
	}
	attempt.instance.simulation.after(spanRenewInterval, attempt.renew)
}

// release releases the reserved parts.
func (attempt *sendAttempt) release() {
	for part := range attempt.reserved {
		attempt.host(part).cancel(attempt.id())
	}
	attempt.reserved = 0
}

// cancel cancels the attempt on all its engines.
func (attempt *sendAttempt) cancel() {
	for part := range attempt.parts {
		if attempt.sameIncarnation(part) {
			attempt.host(part).cancel(attempt.id())
		}
	}
}

func (attempt *sendAttempt) firstToken(enginemodel.Event) {
	if attempt.done || attempt.started {
		return
	}
	attempt.started = true
	sim := attempt.instance.simulation
	sim.recorder.firstToken(sim.now, attempt.request)
	attempt.instance.dispatcher.FirstToken(sim.time(), attempt.request.ID)
	attempt.instance.applyActions()
}

func (attempt *sendAttempt) finished(e enginemodel.Event) {
	if attempt.instance.down {
		return
	}
	if len(attempt.parts) > 1 {
		attempt.release()
	}
	if attempt.done {
		return
	}
	sim := attempt.instance.simulation
	sim.recorder.finished(sim.now, attempt.request)
	attempt.instance.finish(attempt, dispatch.Outcome{AnswerTokens: attempt.request.OutputTokens, CachedTokens: e.Cached})
}

// connectionLost fails an attempt whose engine crashed and releases its parts on
// the other engines.
func (attempt *sendAttempt) connectionLost() {
	if attempt.done {
		return
	}
	for part := range attempt.reserved {
		if attempt.sameIncarnation(part) {
			attempt.host(part).cancel(attempt.id())
		}
	}
	attempt.fail(verdict.MayHaveRun)
}

// fail reports a failure to the instance after the network delay. The callers of
// the bench read resumable streams.
func (attempt *sendAttempt) fail(v verdict.Verdict) {
	err := verdict.New(v, verdict.ReasonUpstream, "failed")
	outcome := dispatch.Outcome{Err: err, Delivered: attempt.started, Resumable: true}
	attempt.instance.simulation.after(networkDelay, func() { attempt.instance.finish(attempt, outcome) })
}
