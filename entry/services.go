package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"celeryport/request"
	"celeryport/verdict"
)

// services serves calls to plain services at /v1/services/NAME/...
func (s *Server) services(ctx *fasthttp.RequestCtx, id string) {
	in, err := s.admit(ctx, id, request.ServiceCall)
	if err == nil {
		err = in.service(ctx)
	}
	if err != nil {
		s.refuse(ctx, in, err)
		return
	}
	raw, releaseBody, err := s.readBody(ctx, in.tree.Fleet.BodyLimit)
	if err != nil {
		s.refuse(ctx, in, err)
		return
	}
	if err := s.checkLate(s.options.Clock.Now(), in.request); err != nil {
		releaseBody()
		s.refuse(ctx, in, err)
		return
	}
	e := newExchange(in.request)
	e.releaseBody = releaseBody
	e.call = &serviceBody{
		method:      string(ctx.Method()),
		path:        string(ctx.URI().RequestURI()), // normalised, like the path that the service's name was read from
		contentType: string(ctx.Request.Header.ContentType()),
		body:        raw,
	}
	in.request.Fingerprint = fingerprint(in.request, e.call.path, raw)
	s.serve(ctx, e, false)
}

// service sets the target of the request to the service named in the path and
// applies the settings of that service.
func (in *incomingRequest) service(ctx *fasthttp.RequestCtx) *verdict.Error {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathServices), "/")
	service, known := in.tree.Service(name)
	if !known {
		return verdict.Refuse(verdict.ReasonNotFound, 0, "there is no service %q", name)
	}
	in.request.Target = service.Name
	in.request.NoRepeat = in.request.NoRepeat || service.NoRepeat
	in.limitDeadline(service.Deadline)
	return nil
}
