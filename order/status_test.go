package order

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// answeredWith returns a caller whose engine answers with a text and closes the connection.
func answeredWith(text string) *caller {
	return newCaller("k", time.Second, func(string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			var request fasthttp.Request
			if request.Read(bufio.NewReader(far)) == nil {
				_, _ = io.WriteString(far, text)
			}
		}()
		return near, nil
	})
}

// Guards against answers without a status that count as the result of an order, or as the state of an engine.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	const rest = "\r\nContent-Length: 17\r\n\r\n{\"accepted\":true}"
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 1000 None", "HTTP/1.1 2OO OK", "HTTP/1.1 -200 OK",
		"HTTP/1.1  200 OK", "HTTP/1.1 ", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols",
	} {
		c := answeredWith(line + rest)
		if got, err := c.order("engine", &wire.Order{}); err == nil {
			t.Errorf("order, %q: %+v", line, got)
		}
		if got, err := c.read("engine"); err == nil {
			t.Errorf("state, %q: %+v", line, got)
		}
	}
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 409 Conflict", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK"} {
		if _, err := answeredWith(line+rest).order("engine", &wire.Order{}); err != nil {
			t.Errorf("%q: %v", line, err)
		}
	}
}

// Guards against a part of an answer that counts as the whole.
func TestPartOfAnAnswerIsNoAnswer(t *testing.T) {
	const body = `{"accepted":true}`
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n" + body, "HTTP/1.1 200 OK\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n" + body + "\r\n0\r\n\r\n",
	} {
		for size := range len(text) + 1 {
			if _, err := answeredWith(text[:size]).order("engine", &wire.Order{}); (size == len(text)) != (err == nil) {
				t.Errorf("%q: %v", text[:size], err)
			}
		}
	}
}
