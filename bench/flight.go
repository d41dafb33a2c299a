package bench

import (
	"time"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/standin/enginemodel"
	"celeryport/verdict"
)

// flight is one send of a request on its way, on the engines, and back.
type flight struct {
	instance *instance
	request  *request.Request
	attempt  uint32
	parts    []dispatch.Part
	priority int
	sentAt   time.Duration
	reserved int // parts that hold a reservation
	over     bool
	started  bool
}

// The constants of spans.
const (
	spanLease      = 10 * time.Second
	spanRenew      = 3 * time.Second
	spanEfficiency = 0.8 // of k engines over one, for a prompt spread over k
)

func (f *flight) id() string { return jobID(f.instance.name, f.request.ID, f.attempt) }

func (f *flight) host(part int) *host { return f.instance.world.hosts[f.parts[part].Name] }

// arrive reaches the upstream.
func (f *flight) arrive() {
	if f.over {
		return
	}
	if len(f.parts) > 1 {
		f.reserve(0)
		return
	}
	job := f.job()
	job.MemoryTokens = 0
	if !f.sameIncarnation(0) || !f.host(0).submit(f, job) {
		f.fail(verdict.NotRun)
	}
}

func (f *flight) sameIncarnation(part int) bool {
	h := f.host(part)
	return !h.down && h.incarnation == f.parts[part].Incarnation
}

func (f *flight) job() enginemodel.Job {
	r := f.request
	return enginemodel.Job{
		ID: f.id(), Owner: f.instance.name, Priority: f.priority,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		PrefixHash: r.PrefixHash, PrefixTokens: r.PrefixTokens,
	}
}

// reserve takes the parts one after the other, in the order of the placement,
// and gives all back if one is not granted.
func (f *flight) reserve(part int) {
	if f.over {
		return
	}
	if part == len(f.parts) {
		f.startSpan()
		return
	}
	if !f.reserveOne(part) {
		f.free()
		f.fail(verdict.NotRun)
		return
	}
	f.reserved = part + 1
	f.instance.world.after(2*networkDelay, func() { f.reserve(part + 1) })
}

func (f *flight) reserveOne(part int) bool {
	if !f.sameIncarnation(part) {
		return false
	}
	h := f.host(part)
	granted, _ := h.engine.Reserve(f.instance.world.time(), f.id(), f.instance.name, f.parts[part].Tokens, spanLease)
	h.touched()
	return granted
}

func (f *flight) startSpan() {
	lead := f.lead()
	job := f.job()
	job.MemoryTokens = f.parts[lead].Tokens
	job.SpanSpeedup = spanEfficiency * float64(len(f.parts))
	if !f.sameIncarnation(lead) || !f.host(lead).submit(f, job) {
		f.free()
		f.fail(verdict.NotRun)
		return
	}
	f.instance.world.after(spanRenew, f.renew)
}

func (f *flight) lead() int {
	for i := range f.parts {
		if f.parts[i].Lead {
			return i
		}
	}
	return 0
}

// renew keeps the reservations of a running span; if one is gone the span is.
func (f *flight) renew() {
	if f.over {
		return
	}
	for part := range f.parts {
		if part != f.lead() && !f.reserveOne(part) {
			f.cancel()
			f.fail(verdict.MayHaveRun)
			return
		}
	}
	f.instance.world.after(spanRenew, f.renew)
}

// free gives back the reserved parts.
func (f *flight) free() {
	for part := range f.reserved {
		f.host(part).cancel(f.id())
	}
	f.reserved = 0
}

// cancel ends the flight on all its engines.
func (f *flight) cancel() {
	for part := range f.parts {
		if f.sameIncarnation(part) {
			f.host(part).cancel(f.id())
		}
	}
}

func (f *flight) firstToken(enginemodel.Event) {
	if f.over || f.started {
		return
	}
	f.started = true
	w := f.instance.world
	w.record.firstToken(w.now, f.request)
	f.instance.dispatcher.FirstToken(w.time(), f.request.ID)
	f.instance.act()
}

func (f *flight) finished(e enginemodel.Event) {
	if f.instance.down {
		return
	}
	if len(f.parts) > 1 {
		f.free()
	}
	if f.over {
		return
	}
	w := f.instance.world
	w.record.finished(w.now, f.request)
	f.instance.finish(f, dispatch.Outcome{AnswerTokens: f.request.OutputTokens, CachedTokens: e.Cached})
}

// cut is the end of a flight whose engine died.
func (f *flight) cut() {
	if f.over {
		return
	}
	for part := range f.reserved {
		if f.sameIncarnation(part) {
			f.host(part).cancel(f.id())
		}
	}
	f.fail(verdict.MayHaveRun)
}

// fail reports a failure after its way back. The callers of the bench read
// resumable streams.
func (f *flight) fail(v verdict.Verdict) {
	err := verdict.New(v, verdict.ReasonUpstream, "failed")
	outcome := dispatch.Outcome{Err: err, Delivered: f.started, Resumable: true}
	f.instance.world.after(networkDelay, func() { f.instance.finish(f, outcome) })
}
