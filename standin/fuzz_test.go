package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"celeryport/standin/enginemodel"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
)

// For any body and headers the engine must not panic, must not run a request that it
// marks as refused, and must not hold more memory than it has.
func FuzzGenerateBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"bolt","max_tokens":4}`), "r1", "1", "0", "1000")
	f.Add([]byte(`{"model":"m","prompt":"bolt","max_tokens":4}`), "r1", "1", "4", "0")
	f.Add([]byte(`{"model":"m","prompt":"bolt","max_tokens":99999999}`), "r1", "-1", "", "")
	f.Add([]byte(`{"model":"m","prompt":"b","max_tokens":1,"span":[{"address":"a","tokens":9},{"address":"","tokens":-1}]}`), "r/1", "1", "0", "1")
	f.Add([]byte(`{"model":null,"prompt":7}`), "", "x", "9999999999999", "-5")
	f.Add([]byte(`[`), "r", "4294967296", "1", "1")
	f.Fuzz(func(t *testing.T, body []byte, id, attempt, offset, remaining string) {
		e := NewEngine(EngineOptions{
			Options: Options{Name: "e", Address: "a", Targets: []string{"m"}},
			Model:   enginemodel.Config{MemoryTokens: 1000, MaxRunning: 2},
		})
		defer e.Close()
		var ctx fasthttp.RequestCtx
		ctx.Init2(fasthttputil.NewPipeConns().Conn1(), discardLogger{}, false)
		h := &ctx.Request.Header
		h.SetMethod(fasthttp.MethodPost)
		h.Set(wire.HeaderRequestID, id)
		h.Set(wire.HeaderAttempt, attempt)
		h.Set(wire.HeaderOffset, offset)
		h.Set(wire.HeaderRemainingMs, remaining)
		ctx.Request.SetBody(body)
		e.serveGenerate(&ctx)
		request := string(h.Peek(wire.HeaderRequestID))
		refused := len(ctx.Response.Header.Peek(wire.HeaderRefused)) > 0
		if refused == (ctx.Response.StatusCode() == fasthttp.StatusOK) || refused && e.scheduler.has(request) {
			t.Fatalf("status %d, refused %v, on the engine %v", ctx.Response.StatusCode(), refused, e.scheduler.has(request))
		}
		held := 0
		for _, one := range e.Holdings().Held {
			held += one.Tokens
		}
		if held > 1000 {
			t.Fatalf("%d tokens held", held)
		}
		e.scheduler.stop()
		_ = ctx.Response.CloseBodyStream()
	})
}

// Truncated, repeated or forged frames must not be accepted as a complete answer.
func FuzzFrames(f *testing.F) {
	var whole bytes.Buffer
	text := []byte("a bolt of cloth")
	for _, frame := range []wire.Frame{
		{Request: "r1", Attempt: 1, Heartbeat: true},
		{Request: "r1", Attempt: 1, Text: string(text[:6]), Tokens: 2, Cached: 3},
		{Request: "r1", Attempt: 1, Offset: 2, Text: string(text[6:]), Tokens: 2},
		{Request: "r1", Attempt: 1, Offset: 4, Final: true, Length: len(text), Checksum: xxhash.Sum64(text)},
	} {
		line, _ := json.Marshal(&frame)
		whole.Write(append(line, '\n'))
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()/2])
	f.Add(bytes.ReplaceAll(whole.Bytes(), []byte("cloth"), []byte("denim")))
	f.Add(bytes.ReplaceAll(whole.Bytes(), []byte(`"r1"`), []byte(`"r2"`)))
	f.Add(append(whole.Bytes(), whole.Bytes()...))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := client.NewReceiver("r1")
		r.Expect(1, 0)
		var shown []byte
		lines := bufio.NewScanner(bytes.NewReader(stream))
		for lines.Scan() {
			var frame wire.Frame
			if json.Unmarshal(lines.Bytes(), &frame) != nil {
				return
			}
			part, err := r.Accept(&frame)
			if err != nil {
				return
			}
			shown = append(shown, part...)
			if r.Complete() {
				if frame.Request != "r1" || frame.Length != len(shown) || frame.Checksum != xxhash.Sum64(shown) {
					t.Fatalf("%q was accepted as complete", shown)
				}
				return
			}
		}
	})
}

func FuzzParseFault(f *testing.F) {
	f.Add("slow:3:500ms")
	f.Add("freeze")
	f.Add("twice:-1")
	f.Add(":::")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseFault(text)
		if err == nil && (!s.Fault.known() || s.Times < 0 || s.DelayMs < 0) {
			t.Fatalf("%q gives %+v", text, strconv.Itoa(s.Times))
		}
	})
}
