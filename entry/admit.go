package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/request"
	"celeryport/settings"
	"celeryport/verdict"
)

// unknownName is reported as the organisation or class of a request that named no valid
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
	in := &incomingRequest{request: &request.Request{
		ID: id, Kind: kind, Organisation: unknownName, Class: unknownName, Arrival: now, Deadline: now,
	}}
	return in, s.checkAdmission(ctx, in)
}

func (s *Server) checkAdmission(ctx *fasthttp.RequestCtx, in *incomingRequest) *verdict.Error {
	if s.draining.refusing() {
		return verdict.Refuse(verdict.ReasonDraining, 0, "this instance is shutting down")
	}
	view := s.options.Plane.View()
	if view == nil || view.Tree == nil || in.request.Arrival.After(view.LeaseUntil) {
		return verdict.Refuse(verdict.ReasonNoLease, noLeaseRetryAfter, "this instance can't confirm its settings")
	}
	in.tree = view.Tree
	organisation, err := authenticate(ctx, view.Tree)
	if err != nil {
		return err
	}
	in.request.Organisation = organisation
	return in.applyClass(ctx)
}

// applyClass resolves the class that the caller names and applies its settings.
func (in *incomingRequest) applyClass(ctx *fasthttp.RequestCtx) *verdict.Error {
	class := string(ctx.Request.Header.Peek(headerClass))
	resolved, err := in.tree.Resolve(in.request.Organisation, class)
	if err != nil {
		return err
	}
	in.resolved = resolved
	r := in.request
	r.Class = resolved.Class
	r.Priority = resolved.Priority
	r.NoRepeat = resolved.NoRepeat
	r.Deadline = r.Arrival.Add(resolved.Deadline)
	if !resolved.Admit {
		return verdict.Refuse(verdict.ReasonLimit, 0, "the settings admit no request of %s in class %s", r.Organisation, r.Class)
	}
	if err := in.readRepeatHeaders(ctx); err != nil {
		return err
	}
	return in.applyCallerDeadline(ctx)
}

// maxKeyBytes bounds an idempotency key, because every voter stores it.
const maxKeyBytes = 256

// readRepeatHeaders reads the idempotency key and whether the request may be
// repeated. It refuses a value that it can't parse: treating it as "may be
// repeated" could run a call twice.
func (in *incomingRequest) readRepeatHeaders(ctx *fasthttp.RequestCtx) *verdict.Error {
	r := in.request
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
func (in *incomingRequest) applyCallerDeadline(ctx *fasthttp.RequestCtx) *verdict.Error {
	header := string(ctx.Request.Header.Peek(headerDeadlineMs))
	if header == "" {
		return nil
	}
	ms, err := strconv.ParseInt(header, 10, 32)
	if err != nil || ms <= 0 {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s must be a positive number of milliseconds", headerDeadlineMs)
	}
	in.limitDeadline(time.Duration(ms) * time.Millisecond)
	return nil
}

// limitDeadline moves the deadline to at most d after the arrival. 0 means no limit.
func (in *incomingRequest) limitDeadline(d time.Duration) {
	if d <= 0 {
		return
	}
	if limit := in.request.Arrival.Add(d); limit.Before(in.request.Deadline) {
		in.request.Deadline = limit
	}
}

// refuse answers a request that was not passed to the dispatcher.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, in *incomingRequest, err *verdict.Error) {
	s.options.Recorder.Received(in.request)
	s.options.Recorder.Refused(in.request, err.Reason)
	var alternatives []address
	if err.Reason == verdict.ReasonDraining || err.Reason == verdict.ReasonNoLease {
		alternatives = s.otherAddresses()
	}
	writeError(ctx, err, alternatives)
	linger(ctx)
}
