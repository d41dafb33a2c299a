package entry

import (
	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// health serves GET /healthz, which succeeds while the process answers.
func (s *Server) health(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString("ok\n")
}

// ready serves GET /readyz, which succeeds if the instance would admit a request now.
func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	view := s.options.Plane.View()
	switch {
	case s.draining.started():
		writeError(ctx, verdict.Refuse(verdict.ReasonDraining, 0, "shutting down"), nil)
	case view == nil || view.Tree == nil || s.options.Clock.Now().After(view.LeaseUntil):
		writeError(ctx, verdict.Refuse(verdict.ReasonNoLease, noLeaseRetryAfter, "settings not confirmed"), nil)
	default:
		ctx.SetBodyString("ready\n")
	}
}
