package entry

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// handle serves all requests on the traffic address.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.Response.Header.Set(headerKeepAlive, statedIdle)
	path := string(ctx.Path())
	switch {
	case path == pathCompletions:
		s.post(ctx, id, s.completions)
	case strings.HasPrefix(path, pathServices):
		s.services(ctx, id)
	case path == pathAddresses:
		s.addresses(ctx)
	case path == wire.PathAnnounce:
		s.post(ctx, id, s.announce)
	case path == pathHealth:
		s.health(ctx)
	case path == pathReady:
		s.ready(ctx)
	case path == pathMetrics:
		s.forward(ctx, s.options.Metrics)
	case path == pathBurn:
		s.forward(ctx, s.options.Burn)
	default:
		writeError(ctx, verdict.Refuse(verdict.ReasonNotFound, 0, "there is no %s", path), nil)
	}
}

func (s *Server) post(ctx *fasthttp.RequestCtx, id string, next func(*fasthttp.RequestCtx, string)) {
	if !ctx.IsPost() {
		writeError(ctx, verdict.Refuse(verdict.ReasonBadRequest, 0, "only POST is served here"), nil)
		return
	}
	next(ctx, id)
}

func (s *Server) forward(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	if handler == nil {
		writeError(ctx, verdict.Refuse(verdict.ReasonNotFound, 0, "not served by this instance"), nil)
		return
	}
	handler(ctx)
}

// handleError answers requests that fasthttp could not parse.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	reason := verdict.ReasonBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		reason = verdict.ReasonBodyTooLarge
	}
	ctx.Response.Header.Set(headerRequestID, newRequestID())
	writeError(ctx, verdict.Refuse(reason, 0, "the request can't be read"), nil)
	ctx.SetConnectionClose()
}

// newRequestID returns a version 7 UUID, which sorts by time.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
