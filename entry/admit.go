package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/request"
	"celeryport/settings"
	"celeryport/verdict"
)

// unknown stands in reports for an organisation or class that a request did not
// name rightly.
const unknown = "unknown"

// noLeaseRetry is when a caller may come back to an instance that has no valid
// settings; the answer names other instances.
const noLeaseRetry = time.Second

// arrival is a request before it is admitted: what is known to count a refusal.
type arrival struct {
	request  *request.Request
	resolved settings.Resolved
	tree     *settings.Tree
}

// admit checks everything that needs no body: this instance's own state, the
// caller's key and the class. The returned request is not yet counted as
// received: reports count it by its target, which the body may name.
func (s *Server) admit(ctx *fasthttp.RequestCtx, id string, kind request.Kind) (*arrival, *verdict.Error) {
	now := s.options.Clock.Now()
	a := &arrival{request: &request.Request{
		ID: id, Kind: kind, Organisation: unknown, Class: unknown, Arrival: now, Deadline: now,
	}}
	return a, s.admitTo(ctx, a)
}

func (s *Server) admitTo(ctx *fasthttp.RequestCtx, a *arrival) *verdict.Error {
	if s.draining.refusing() {
		return verdict.Refuse(verdict.ReasonDraining, 0, "this instance is shutting down")
	}
	view := s.options.Plane.View()
	if view == nil || view.Tree == nil || a.request.Arrival.After(view.LeaseUntil) {
		return verdict.Refuse(verdict.ReasonNoLease, noLeaseRetry, "this instance can't confirm its settings")
	}
	a.tree = view.Tree
	organisation, err := authenticate(ctx, view.Tree)
	if err != nil {
		return err
	}
	a.request.Organisation = organisation
	return a.classify(ctx)
}

// classify applies the class that the caller names.
func (a *arrival) classify(ctx *fasthttp.RequestCtx) *verdict.Error {
	class := string(ctx.Request.Header.Peek(headerClass))
	resolved, err := a.tree.Resolve(a.request.Organisation, class)
	if err != nil {
		return err
	}
	a.resolved = resolved
	r := a.request
	r.Class = resolved.Class
	r.Priority = resolved.Priority
	r.NoRepeat = resolved.NoRepeat
	r.Deadline = r.Arrival.Add(resolved.Deadline)
	if !resolved.Admit {
		return verdict.Refuse(verdict.ReasonLimit, 0, "the settings admit no request of %s in class %s", r.Organisation, r.Class)
	}
	if err := a.mark(ctx); err != nil {
		return err
	}
	return a.shorten(ctx)
}

// maxKeyBytes bounds an idempotency key, which every voter keeps.
const maxKeyBytes = 256

// mark reads how the caller wants repeats to be treated. A value that is not
// understood is refused: taking it for "may be repeated" could run a call twice.
func (a *arrival) mark(ctx *fasthttp.RequestCtx) *verdict.Error {
	r := a.request
	r.Key = string(ctx.Request.Header.Peek(headerKey))
	if len(r.Key) > maxKeyBytes {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s is longer than %d bytes", headerKey, maxKeyBytes)
	}
	header := string(ctx.Request.Header.Peek(headerNoRepeat))
	if header == "" {
		return nil
	}
	noRepeat, err := strconv.ParseBool(header)
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s must be true or false", headerNoRepeat)
	}
	r.NoRepeat = r.NoRepeat || noRepeat
	return nil
}

// shorten applies the caller's own deadline where it is the earlier one.
func (a *arrival) shorten(ctx *fasthttp.RequestCtx) *verdict.Error {
	header := string(ctx.Request.Header.Peek(headerDeadlineMs))
	if header == "" {
		return nil
	}
	ms, err := strconv.ParseInt(header, 10, 32)
	if err != nil || ms <= 0 {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s must be a positive number of milliseconds", headerDeadlineMs)
	}
	a.bound(time.Duration(ms) * time.Millisecond)
	return nil
}

// bound brings the deadline forward to at most d after the arrival; 0 is no bound.
func (a *arrival) bound(d time.Duration) {
	if d <= 0 {
		return
	}
	if limit := a.request.Arrival.Add(d); limit.Before(a.request.Deadline) {
		a.request.Deadline = limit
	}
}

// refuse answers a request that never reached the dispatcher.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, a *arrival, err *verdict.Error) {
	s.options.Recorder.Received(a.request)
	s.options.Recorder.Refused(a.request, err.Reason)
	var elsewhere []address
	if err.Reason == verdict.ReasonDraining || err.Reason == verdict.ReasonNoLease {
		elsewhere = s.others()
	}
	writeError(ctx, err, elsewhere)
	linger(ctx)
}
