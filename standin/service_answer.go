package standin

import (
	"bytes"
	"net"

	"github.com/valyala/fasthttp"

	"celeryport/standin/answer"
	"celeryport/upstream/wire"
)

// answer sends the answer of a call, altered according to the fault.
func (s *Service) answer(ctx *fasthttp.RequestCtx, c *call, a *answer.Call, fault Fault) {
	given := *a
	ctx.Response.Header.Set(wire.HeaderRequestID, c.request)
	switch fault {
	case FaultCrossed:
		ctx.Response.Header.Set(wire.HeaderRequestID, "crossed-"+c.request)
		given.Request = "crossed-" + c.request
		given.Digest = answer.CallDigest([]byte(given.Request))
	case FaultCorrupt:
		given.Digest = answer.CallDigest([]byte(given.Request))
	}
	respondJSON(ctx, &given)
	switch fault {
	case FaultCloseAfterRead:
		_ = ctx.Conn().Close()
	case FaultNever, FaultCloseShort, FaultSilent, FaultTwice:
		s.answerRaw(ctx, fault)
	case FaultEndShort:
		body := ctx.Response.Body()
		ctx.SetBody(bytes.Clone(body[:len(body)/2]))
	}
}

// answerRaw writes the answer directly to the connection, for faults that the HTTP
// server cannot produce.
func (s *Service) answerRaw(ctx *fasthttp.RequestCtx, fault Fault) {
	var whole bytes.Buffer
	if _, err := ctx.Response.WriteTo(&whole); err != nil {
		_ = ctx.Conn().Close()
		return
	}
	content := whole.Bytes()
	switch fault {
	case FaultNever:
		content = nil
	case FaultCloseShort, FaultSilent:
		content = content[:len(content)-len(ctx.Response.Body())/2]
	case FaultTwice:
		content = append(content, content...)
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, _ = conn.Write(content)
		if fault == FaultNever || fault == FaultSilent {
			s.faults.untilCleared(s.ctx)
		}
	})
}
