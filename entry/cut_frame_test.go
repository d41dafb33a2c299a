package entry

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// cutsFrame is an engine whose connection ends after some bytes of the second frame of an answer. It resumes the answer.
func cutsFrame(bytes int) script {
	return func(conn net.Conn, r *fasthttp.Request) {
		if len(r.Header.Peek(wire.HeaderOffset)) > 0 {
			_, _ = io.WriteString(conn, streamHeader)
			writeFrame(conn, frameOf(r, wire.Frame{Offset: 1, Text: "two", Tokens: 1}))
			endAnswer(conn, r, "one ", "two")
			return
		}
		startAnswer(conn, r, "one ")
		_, _ = io.WriteString(conn, ("60\r\n{\"request\":\"" + string(r.Header.Peek(wire.HeaderRequestID)))[:bytes])
	}
}

// Guards against prompts that fail, or are run again, because a connection that ended within a frame counts as a violation
// of the protocol, after which a stream is not resumed.
func TestStreamThatEndsWithinAFrameIsResumed(t *testing.T) {
	warmUp(t)
	for _, stream := range []bool{false, true} {
		for _, bytes := range []int{1, 4, 5, 20} {
			t.Run(fmt.Sprint(stream, bytes), func(t *testing.T) {
				inBubble(t, map[string]script{"e1": cutsFrame(bytes)}, func(t *testing.T, b *testBed) {
					c := completion("hello", stream)
					c.headers = map[string]string{headerNoRepeat: "true"}
					got := b.do(c)
					if whole := strings.Contains(string(got.body), "[DONE]") || strings.Contains(string(got.body), "one two"); !whole || got.verdict != "ran" || b.totalCalls() != 2 {
						t.Errorf("%d calls, %d %s: %s", b.totalCalls(), got.status, got.verdict, got.body)
					}
					b.checkCounts()
				})
			})
		}
	}
}
