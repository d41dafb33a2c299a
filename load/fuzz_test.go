package load

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Whatever an instance streams, only the complete, correct text counts as served.
func FuzzEvents(f *testing.F) {
	work := &Work{Class: &Class{}, Prompt: newPrompt(1, 2, 1000, 4), Stream: true}
	correctText := (&completionRequest{Prompt: readAll(work.Prompt), MaxTokens: 4}).correctText()
	event := func(text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	}
	f.Add([]byte(event(correctText) + "data: [DONE]\n\n"))
	f.Add([]byte(event(correctText[:6]) + ": alive\n\n" + event(correctText[6:]) + "data: [DONE]\n\n"))
	f.Add([]byte(event(correctText[:6]) + "data: [DONE]\n\n"))
	f.Add([]byte(event(correctText) + "data: {\"error\":{\"type\":\"upstream\",\"verdict\":\"may-have-run\"}}\n\n"))
	f.Add([]byte("data: {\"celeryport\":{}}\n\ndata:\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		e := &exchange{}
		e.response.SetBodyStream(bytes.NewReader(stream), len(stream))
		e.response.Header.SetContentType(contentTypeEvents)
		o := Outcome{Status: fasthttp.StatusOK}
		(&caller{}).read(e, work, time.Now(), &o)
		if o.Result == "" {
			t.Fatal("no result")
		}
		if o.Result == Served && !strings.Contains(string(stream), doneMarker) {
			t.Fatal("counted as served without an end marker")
		}
	})
}

func readAll(p *Prompt) string {
	var text bytes.Buffer
	_, _ = text.ReadFrom(p.Reader())
	return text.String()
}
