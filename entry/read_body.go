package entry

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// maxBodyBytes bounds the total size of the request bodies that one instance holds at a time. A
// prompt is held up to three times: as received, decoded, and encoded for the engine.
const maxBodyBytes = 256 << 20

// bodyRetryAfter is the Retry-After when the instance had no memory for the body.
const bodyRetryAfter = 500 * time.Millisecond

// readBody reads a body of at most limit bytes into memory that it reserves. The
// returned function releases the reservation. A body whose declared length is above
// the limit is refused before it is read.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, limit int64) ([]byte, func(), *verdict.Error) {
	declared := int64(ctx.Request.Header.ContentLength())
	if declared > limit {
		return nil, nil, tooLarge(limit)
	}
	if declared < 0 {
		declared = limit // chunked: any size up to the limit
	}
	if !s.bodies.Reserve(declared) {
		return nil, nil, verdict.Refuse(verdict.ReasonQueueFull, bodyRetryAfter, "no memory free for another request of this size")
	}
	releaseBody := func() { s.bodies.Release(declared) }
	body, err := readUpTo(ctx, limit, declared)
	if err != nil {
		releaseBody()
		return nil, nil, err
	}
	return body, releaseBody, nil
}

func readUpTo(ctx *fasthttp.RequestCtx, limit, declared int64) ([]byte, *verdict.Error) {
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
	if length := ctx.Request.Header.ContentLength(); length >= 0 && int64(len(body)) < declared {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, 0, "the body ended early")
	}
	return body, nil
}

// copyBody copies the body, because fasthttp reuses its buffer after the handler has
// returned.
func copyBody(body []byte, limit int64) ([]byte, *verdict.Error) {
	if int64(len(body)) > limit {
		return nil, tooLarge(limit)
	}
	return append([]byte(nil), body...), nil
}

func tooLarge(limit int64) *verdict.Error {
	return verdict.Refuse(verdict.ReasonBodyTooLarge, 0, "the body is larger than %d bytes", limit)
}
