package entry

import (
	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// health serves GET /healthz: the process answers.
func (s *Server) health(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString("ok\n")
}

// ready serves GET /readyz: the instance would admit a request now.
func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	view := s.options.Plane.View()
	switch {
	case s.draining.started():
		writeError(ctx, verdict.Refuse(verdict.ReasonDraining, 0, "shutting down"), nil)
	case view == nil || view.Tree == nil || s.options.Clock.Now().After(view.LeaseUntil):
		writeError(ctx, verdict.Refuse(verdict.ReasonNoLease, noLeaseRetry, "settings not confirmed"), nil)
	default:
		ctx.SetBodyString("ready\n")
	}
}
