package entry

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// bodyRetry is when a caller may come back after the instance had no room for
// its body.
const bodyRetry = 500 * time.Millisecond

// readBody reads a body of at most limit bytes into memory that it counts. The
// returned function gives the memory back. Bodies that are announced as too
// large are refused before they are read.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, limit int64) ([]byte, func(), *verdict.Error) {
	announced := int64(ctx.Request.Header.ContentLength())
	if announced > limit {
		return nil, nil, tooLarge(limit)
	}
	if announced < 0 {
		announced = limit // chunked: any size up to the limit
	}
	if !s.bodies.take(announced) {
		return nil, nil, verdict.Refuse(verdict.ReasonQueueFull, bodyRetry, "no memory free for another request of this size")
	}
	giveBack := func() { s.bodies.give(announced) }
	body, err := readUpTo(ctx, limit, announced)
	if err != nil {
		giveBack()
		return nil, nil, err
	}
	return body, giveBack, nil
}

func readUpTo(ctx *fasthttp.RequestCtx, limit, announced int64) ([]byte, *verdict.Error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return copyBody(ctx.PostBody(), limit)
	}
	body, err := io.ReadAll(io.LimitReader(stream, limit+1))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "the body ended early")
	}
	if int64(len(body)) > limit {
		return nil, tooLarge(limit)
	}
	if known := ctx.Request.Header.ContentLength(); known >= 0 && int64(len(body)) < announced {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, 0, "the body ended early")
	}
	return body, nil
}

// copyBody copies what fasthttp reuses after the handler has returned.
func copyBody(body []byte, limit int64) ([]byte, *verdict.Error) {
	if int64(len(body)) > limit {
		return nil, tooLarge(limit)
	}
	return append([]byte(nil), body...), nil
}

func tooLarge(limit int64) *verdict.Error {
	return verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the body is larger than %d bytes", limit)
}
