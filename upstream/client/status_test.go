package client

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// noStatusLines are first lines of answers that state no status.
var noStatusLines = []string{
	"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 020 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1 1000 None",
	"HTTP/1.1 2OO OK", "HTTP/1.1 -200 OK", "HTTP/1.1 200200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 ",
	"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK",
	"HTTP/1.1 101 Switching Protocols", // not asked for
}

// Guards against answers without a status that count as answers, or as the statement that a call has not run.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	lines := ""
	for _, f := range frames("r1", 1, "one ", "two") {
		lines += frameLine(f)
	}
	for _, line := range noStatusLines {
		for name, rest := range map[string]string{
			"answer":         "Content-Length: 4\r\n\r\nbody",
			"refusal":        wire.HeaderRefused + ": full\r\nContent-Length: 4\r\n\r\nbody",
			"without length": "\r\nbody",
		} {
			p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { write(conn, line+"\r\n"+rest) })
			got, err := p.client().Service(context.Background(), &ServiceCall{
				Address: "peer", Request: "r1", Attempt: 1, Path: "/", Remaining: time.Second, MaxAnswer: 1 << 10,
			})
			if err == nil || err.Verdict != verdict.MayHaveRun {
				t.Errorf("service, %q, %s: %+v, %v", line, name, got, err)
			}
		}
		for name, rest := range map[string]string{
			"chunks":  "Transfer-Encoding: chunked\r\n\r\n" + chunk(lines) + "0\r\n\r\n",
			"refusal": wire.HeaderRefused + ": full\r\nContent-Length: 0\r\n\r\n",
		} {
			p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { write(conn, line+"\r\n"+rest) })
			read, err := generate(context.Background(), p.client(), NewReceiver("r1"))
			if err == nil || read != "" || verdict.From(err).Verdict != verdict.MayHaveRun {
				t.Errorf("prompt, %q, %s: %q, %v", line, name, read, err)
			}
		}
		for name, call := range map[string]func(c *Client) error{
			"cancel": func(c *Client) error { _, err := c.Cancel(t.Context(), "peer", wire.CancelRequest{}); return err },
			"reserve": func(c *Client) error {
				_, err := c.Reserve(t.Context(), "peer", &wire.ReserveRequest{})
				return err
			},
			"holdings": func(c *Client) error { _, err := c.Holdings(t.Context(), "peer"); return err },
		} {
			p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { write(conn, line+"\r\nContent-Length: 2\r\n\r\n{}") })
			if call(p.client()) == nil {
				t.Errorf("%s, %q: counts as done", name, line)
			}
		}
	}
}
