package load

import (
	"bytes"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// pathCompletions is the path to which prompts are posted.
const pathCompletions = "/v1/completions"

// Request and response headers that callers use.
const (
	headerClass    = "X-Celeryport-Class"
	headerDeadline = "X-Celeryport-Deadline-Ms"
	headerNoRepeat = "X-Celeryport-No-Repeat"
	headerVerdict  = "X-Celeryport-Verdict"
	headerRequest  = "X-Request-Id"
	headerKey      = "Idempotency-Key"
)

// fillPrompt fills a completion request. Its body is streamed, so that the whole
// prompt is never in memory.
func fillPrompt(request *fasthttp.Request, model string, w *Work) {
	request.SetRequestURI(pathCompletions)
	head := []byte(`{"model":` + strconv.Quote(model) +
		`,"max_tokens":` + strconv.Itoa(w.Prompt.MaxAnswerTokens) +
		`,"stream":` + strconv.FormatBool(w.Stream) + `,"prompt":"`)
	tail := []byte(`"}`)
	body := io.MultiReader(bytes.NewReader(head), w.Prompt.Reader(), bytes.NewReader(tail))
	request.SetBodyStream(body, len(head)+w.Prompt.Size()+len(tail))
}

// fillCall fills a service call.
func fillCall(request *fasthttp.Request, service string, w *Work) {
	request.SetRequestURI("/v1/services/" + service + w.Class.Call.Path)
	request.SetBodyRaw(w.Body)
}
