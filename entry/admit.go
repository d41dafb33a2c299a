package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/request"
	"celeryport/settings"
	"celeryport/verdict"
)

// unknown is reported as the organisation or class of a request that named no valid
// one.
const unknownName = "unknown"

// noLeaseRetryAfter is the Retry-After of an instance that has no valid settings.
// Its answer also lists other instances.
const noLeaseRetryAfter = time.Second

// incomingRequest is a request before it is admitted, with what is needed to count
// a refusal.
type incomingRequest struct {
	request  *request.Request
	resolved settings.Resolved
	tree     *settings.Tree
}

// admit checks everything that does not need the body: the state of this instance,
// the caller's key and the class. It does not count the returned request as
// received, because requests are counted by target and the target may be named in
// the body.
func (s *Server) admit(ctx *fasthttp.RequestCtx, id string, kind request.Kind) (*incomingRequest, *verdict.Error) {
	now := s.options.Clock.Now()
	a := &incomingRequest{request: &request.Request{
		ID: id, Kind: kind, Organisation: unknownName, Class: unknownName, Arrival: now, Deadline: now,
	}}
	return a, s.checkAdmission(ctx, a)
}

func (s *Server) checkAdmission(ctx *fasthttp.RequestCtx, a *incomingRequest) *verdict.Error {
	if s.draining.refusing() {
		return verdict.Refuse(verdict.ReasonDraining, 0, "this instance is shutting down")
	}
	view := s.options.Plane.View()
	if view == nil || view.Tree == nil || a.request.Arrival.After(view.LeaseUntil) {
		return verdict.Refuse(verdict.ReasonNoLease, noLeaseRetryAfter, "this instance can't confirm its settings")
	}
	a.tree = view.Tree
	organisation, err := authenticate(ctx, view.Tree)
	if err != nil {
		return err
	}
	a.request.Organisation = organisation
	return a.applyClass(ctx)
}

// applyClass resolves the class that the caller names and applies its settings.
func (a *incomingRequest) applyClass(ctx *fasthttp.RequestCtx) *verdict.Error {
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
	if err := a.readRepeatHeaders(ctx); err != nil {
		return err
	}
	return a.applyCallerDeadline(ctx)
}

// maxKeyBytes bounds an idempotency key, because every voter stores it.
const maxKeyBytes = 256

// readRepeatHeaders reads the idempotency key and whether the request may be
// repeated. It refuses a value that it can't parse: treating it as "may be
// repeated" could run a call twice.
func (a *incomingRequest) readRepeatHeaders(ctx *fasthttp.RequestCtx) *verdict.Error {
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

// applyCallerDeadline applies the caller's own deadline if it is earlier than that
// of the class.
func (a *incomingRequest) applyCallerDeadline(ctx *fasthttp.RequestCtx) *verdict.Error {
	header := string(ctx.Request.Header.Peek(headerDeadlineMs))
	if header == "" {
		return nil
	}
	ms, err := strconv.ParseInt(header, 10, 32)
	if err != nil || ms <= 0 {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s must be a positive number of milliseconds", headerDeadlineMs)
	}
	a.limitDeadline(time.Duration(ms) * time.Millisecond)
	return nil
}

// limitDeadline moves the deadline to at most d after the arrival. 0 means no limit.
func (a *incomingRequest) limitDeadline(d time.Duration) {
	if d <= 0 {
		return
	}
	if limit := a.request.Arrival.Add(d); limit.Before(a.request.Deadline) {
		a.request.Deadline = limit
	}
}

// refuse answers a request that was not passed to the dispatcher.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, a *incomingRequest, err *verdict.Error) {
	s.options.Recorder.Received(a.request)
	s.options.Recorder.Refused(a.request, err.Reason)
	var alternatives []address
	if err.Reason == verdict.ReasonDraining || err.Reason == verdict.ReasonNoLease {
		alternatives = s.otherAddresses()
	}
	writeError(ctx, err, alternatives)
	linger(ctx)
}
