package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// writeError writes a refusal or failure as JSON, with its verdict.
func writeError(ctx *fasthttp.RequestCtx, err *verdict.Error, alternatives []address) {
	ctx.SetStatusCode(err.Status())
	ctx.Response.Header.Set(headerVerdict, err.Verdict.String())
	if err.RetryAfter > 0 {
		ctx.Response.Header.Set(headerRetryAfter, strconv.FormatInt(ceilSeconds(err.RetryAfter), 10))
	}
	writeJSON(ctx, errorAnswer{Error: errorBodyOf(err), Addresses: alternatives})
}

func errorBodyOf(err *verdict.Error) errorBody {
	return errorBody{
		Type:         string(err.Reason),
		Message:      err.Message,
		Verdict:      err.Verdict.String(),
		RetryAfterMs: err.RetryAfter.Milliseconds(),
	}
}

// ceilSeconds rounds up, because a caller who retried too early would be refused
// again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(append(body, '\n'))
}
