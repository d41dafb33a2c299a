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

func (s *sendAttempt) id() string {
	return jobID(s.instance.name, s.request.ID, s.number)
}

func (s *sendAttempt) host(part int) *host {
	return s.instance.simulation.hosts[s.parts[part].Name]
}

// arrive handles the arrival of the attempt at the upstream: it reserves a span
// or submits the job to the only engine.
func (s *sendAttempt) arrive() {
	if s.done {
		return
	}
	if len(s.parts) > 1 {
		s.reserve(0)
		return
	}
	job := s.job()
	job.MemoryTokens = 0
	if !s.sameIncarnation(0) || !s.host(0).submit(s, job) {
		s.fail(verdict.NotRun)
	}
}

func (s *sendAttempt) sameIncarnation(part int) bool {
	h := s.host(part)
	return !h.down && h.incarnation == s.parts[part].Incarnation
}

func (s *sendAttempt) job() enginemodel.Job {
	r := s.request
	return enginemodel.Job{
		ID: s.id(), Owner: s.instance.name, Priority: s.priority,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		PrefixHash: r.PrefixHash, PrefixTokens: r.PrefixTokens,
	}
}

// reserve reserves the parts one after the other, in the order of the placement,
// and releases all of them if one is not granted.
func (s *sendAttempt) reserve(part int) {
	if s.done {
		return
	}
	if part == len(s.parts) {
		s.startSpan()
		return
	}
	if !s.reservePart(part) {
		s.release()
		s.fail(verdict.NotRun)
		return
	}
	s.reserved = part + 1
	s.instance.simulation.after(2*networkDelay, func() { s.reserve(part + 1) })
}

func (s *sendAttempt) reservePart(part int) bool {
	if !s.sameIncarnation(part) {
		return false
	}
	h := s.host(part)
	granted, _ := h.engine.Reserve(s.instance.simulation.time(), s.id(), s.instance.name, s.parts[part].Tokens, spanLease)
	h.advance()
	return granted
}

func (s *sendAttempt) startSpan() {
	lead := s.lead()
	job := s.job()
	job.MemoryTokens = s.parts[lead].Tokens
	job.SpanSpeedup = spanEfficiency * float64(len(s.parts))
	if !s.sameIncarnation(lead) || !s.host(lead).submit(s, job) {
		s.release()
		s.fail(verdict.NotRun)
		return
	}
	s.instance.simulation.after(spanRenewInterval, s.renew)
}

func (s *sendAttempt) lead() int {
	for i := range s.parts {
		if s.parts[i].Lead {
			return i
		}
	}
	return 0
}

// renew renews the reservations of a running span. If one cannot be renewed, the
// span is cancelled and the attempt fails.
func (s *sendAttempt) renew() {
	if s.done {
		return
	}
	for part := range s.parts {
		if part != s.lead() && !s.reservePart(part) {
			s.cancel()
			s.fail(verdict.MayHaveRun)
			return
		}
	}
	s.instance.simulation.after(spanRenewInterval, s.renew)
}

// release releases the reserved parts.
func (s *sendAttempt) release() {
	for part := range s.reserved {
		s.host(part).cancel(s.id())
	}
	s.reserved = 0
}

// cancel cancels the attempt on all its engines.
func (s *sendAttempt) cancel() {
	for part := range s.parts {
		if s.sameIncarnation(part) {
			s.host(part).cancel(s.id())
		}
	}
}

func (s *sendAttempt) firstToken(enginemodel.Event) {
	if s.done || s.started {
		return
	}
	s.started = true
	sim := s.instance.simulation
	sim.recorder.firstToken(sim.now, s.request)
	s.instance.dispatcher.FirstToken(sim.time(), s.request.ID)
	s.instance.applyActions()
}

func (s *sendAttempt) finished(e enginemodel.Event) {
	if s.instance.down {
		return
	}
	if len(s.parts) > 1 {
		s.release()
	}
	if s.done {
		return
	}
	sim := s.instance.simulation
	sim.recorder.finished(sim.now, s.request)
	s.instance.finish(s, dispatch.Outcome{AnswerTokens: s.request.OutputTokens, CachedTokens: e.Cached})
}

// connectionLost fails an attempt whose engine crashed and releases its parts on
// the other engines.
func (s *sendAttempt) connectionLost() {
	if s.done {
		return
	}
	for part := range s.reserved {
		if s.sameIncarnation(part) {
			s.host(part).cancel(s.id())
		}
	}
	s.fail(verdict.MayHaveRun)
}

// fail reports a failure to the instance after the network delay. The callers of
// the bench read resumable streams.
func (s *sendAttempt) fail(v verdict.Verdict) {
	err := verdict.New(v, verdict.ReasonUpstream, "failed")
	outcome := dispatch.Outcome{Err: err, Delivered: s.started, Resumable: true}
	s.instance.simulation.after(networkDelay, func() { s.instance.finish(s, outcome) })
}
