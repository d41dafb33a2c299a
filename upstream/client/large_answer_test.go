package client

import (
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// Guards against sound answers that are cut off because they are large.
func TestLargeAnswersAreNoBytesWithoutEnd(t *testing.T) {
	initFasthttp(t)
	const limit = 8 << 20
	body := strings.Repeat("a", limit)
	piece := limit / 16
	for name, answer := range map[string]string{
		"with a length":  "HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n" + body,
		"in chunks":      streamHeader + strings.Repeat(chunk(body[:piece]), 16) + "0\r\n\r\n",
		"in tiny chunks": streamHeader + strings.Repeat(chunk(body[:8]), limit/8) + "0\r\n\r\n",
		"large head":     "HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\nX-A: " + body[:maxHeader/2] + "\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { write(conn, answer) })
			got, failed := p.client().Service(t.Context(),
				&ServiceCall{Address: "u", Request: "r1", Path: "/a", Remaining: endlessDeadline, MaxAnswer: limit})
			if failed != nil || len(got.Body) != limit {
				t.Errorf("error %v", failed)
			}
		})
	}
	t.Run("to the end", func(t *testing.T) { // no answer without a length is known to be sound, see ErrUnframed
		p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) {
			write(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
		})
		got, failed := p.client().Service(t.Context(),
			&ServiceCall{Address: "u", Request: "r1", Path: "/a", Remaining: endlessDeadline, MaxAnswer: limit})
		if got != nil || failed == nil || failed.Verdict != verdict.MayHaveRun || !errors.Is(failed, ErrUnframed) {
			t.Errorf("%+v, error %v", got, failed)
		}
	})
	t.Run("frames", func(t *testing.T) {
		words := make([]string, 7)
		for i := range words {
			words[i] = body[:maxFrame-1<<10]
		}
		p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) {
			write(conn, streamHeader)
			writeFrames(conn, frames("r1", 1, words...)...)
		})
		if text, err := generate(t.Context(), p.client(), NewReceiver("r1")); err != nil || len(text) != len(words)*len(words[0]) {
			t.Errorf("%d bytes, %v", len(text), err)
		}
	})
}
