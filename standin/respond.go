package standin

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// refusal is the body of an error answer.
type refusal struct {
	Error string `json:"error"`
}

// refuse answers with an error and the refusal header, which states that the call was
// not executed.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.Response.Header.Set(wire.HeaderRefused, reason)
	fail(ctx, status, reason)
}

// fail answers with an error that does not state whether the call was executed.
func fail(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.SetStatusCode(status)
	respondJSON(ctx, &refusal{Error: reason})
}

func respondJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

// decode decodes a JSON body. If that fails, it refuses the call and returns false.
func decode(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "body is not the JSON that is expected")
		return false
	}
	return true
}

// call holds the values of the request headers.
type call struct {
	request   string
	attempt   uint32
	owner     string
	priority  int
	resume    bool // resume an existing stream only, never start a new one
	offset    int
	limited   bool          // remaining is set
	remaining time.Duration // time until the deadline
	key       string
}

// parseCall parses the request headers; ok is false if a number is malformed.
func parseCall(header *fasthttp.RequestHeader) (c call, ok bool) {
	c.request = string(header.Peek(wire.HeaderRequestID))
	c.owner = string(header.Peek(wire.HeaderOwner))
	c.key = string(header.Peek(wire.HeaderKey))
	ok = true
	number := func(name string, bits int) int64 {
		text := string(header.Peek(name))
		if text == "" {
			return 0
		}
		n, err := strconv.ParseInt(text, 10, bits)
		ok = ok && err == nil && n >= 0
		return n
	}
	c.attempt = uint32(number(wire.HeaderAttempt, 32))
	c.resume = len(header.Peek(wire.HeaderOffset)) > 0
	c.offset = int(number(wire.HeaderOffset, 32))
	c.limited = len(header.Peek(wire.HeaderRemainingMs)) > 0
	c.remaining = time.Duration(number(wire.HeaderRemainingMs, 40)) * time.Millisecond
	priority := string(header.Peek(wire.HeaderPriority))
	if priority != "" {
		n, err := strconv.Atoi(priority)
		ok = ok && err == nil
		c.priority = n
	}
	return c, ok
}
