package load

import (
	"bytes"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// pathCompletions is where prompts are posted.
const pathCompletions = "/v1/completions"

// The headers that callers use.
const (
	headerClass    = "X-Celeryport-Class"
	headerDeadline = "X-Celeryport-Deadline-Ms"
	headerNoRepeat = "X-Celeryport-No-Repeat"
	headerVerdict  = "X-Celeryport-Verdict"
	headerRequest  = "X-Request-Id"
	headerKey      = "Idempotency-Key"
)

// fillPrompt makes the body of a completion. The prompt is never in memory as a
// whole.
func fillPrompt(request *fasthttp.Request, model string, w *Work) {
	request.SetRequestURI(pathCompletions)
	head := []byte(`{"model":` + strconv.Quote(model) +
		`,"max_tokens":` + strconv.Itoa(w.Prompt.Answer) +
		`,"stream":` + strconv.FormatBool(w.Stream) + `,"prompt":"`)
	tail := []byte(`"}`)
	body := io.MultiReader(bytes.NewReader(head), w.Prompt.Reader(), bytes.NewReader(tail))
	request.SetBodyStream(body, len(head)+w.Prompt.Size()+len(tail))
}

// fillCall makes a service call.
func fillCall(request *fasthttp.Request, service string, w *Work) {
	request.SetRequestURI("/v1/services/" + service + w.Class.Call.Path)
	request.SetBodyRaw(w.Body)
}
