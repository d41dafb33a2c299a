package load

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Whatever an instance streams, only the whole right text counts as served.
func FuzzEvents(f *testing.F) {
	work := &Work{Class: &Class{}, Prompt: newPrompt(1, 2, 1000, 4), Stream: true}
	right := (&asked{Prompt: readAll(work.Prompt), MaxTokens: 4}).right()
	event := func(text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	}
	f.Add([]byte(event(right) + "data: [DONE]\n\n"))
	f.Add([]byte(event(right[:6]) + ": alive\n\n" + event(right[6:]) + "data: [DONE]\n\n"))
	f.Add([]byte(event(right[:6]) + "data: [DONE]\n\n"))
	f.Add([]byte(event(right) + "data: {\"error\":{\"type\":\"upstream\",\"verdict\":\"may-have-run\"}}\n\n"))
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
		if o.Result == Served && !strings.Contains(string(stream), doneMark) {
			t.Fatal("served without its end")
		}
	})
}

func readAll(p *Prompt) string {
	var text bytes.Buffer
	_, _ = text.ReadFrom(p.Reader())
	return text.String()
}
