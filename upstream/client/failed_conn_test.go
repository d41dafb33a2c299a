package client

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// failedConn is a connection to an upstream that sends a text, and then fails. Like the kernel, it reports that once.
type failedConn struct {
	net.Conn
	text io.Reader
	err  error
}

func (c *failedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *failedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *failedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *failedConn) Close() error                     { return nil }

func (c *failedConn) Read(p []byte) (int, error) {
	if n, _ := c.text.Read(p); n > 0 {
		return n, nil
	}
	if err := c.err; err != nil {
		c.err = nil
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	return 0, io.EOF
}

// failures are errors with which connections end.
var failures = map[string]error{"end": nil, "reset": syscall.ECONNRESET, "time-out of the kernel": syscall.ETIMEDOUT, "no route": syscall.EHOSTUNREACH}

func failedClient(text string, err error) *Client {
	return New(func(context.Context, string) (net.Conn, error) {
		return &failedConn{text: strings.NewReader(text), err: err}, nil
	}, "", owner, DefaultTiming)
}

// Guards against a part of a service's answer that counts as the whole because the error of its connection was reported to
// something else than the read of the body.
func TestServiceAnswerOfAFailedConnectionIsNeverComplete(t *testing.T) {
	for _, test := range cutAnswers {
		for name, failure := range failures {
			for size := range len(test.text) + 1 {
				whole := test.framed && size == len(test.text)
				stated := strings.HasPrefix(test.text, refusedHead) && strings.Contains(test.text[:size], "\r\n\r\n")
				got, err := failedClient(test.text[:size], failure).Service(context.Background(), &ServiceCall{
					Address: "peer", Request: "r1", Attempt: 1, Path: "/", Remaining: time.Second, MaxAnswer: 1 << 10,
				})
				switch {
				case stated && (err == nil || err.Verdict != verdict.NotRun),
					!stated && whole && (err != nil || string(got.Body) != "body"),
					!stated && !whole && (err == nil || err.Verdict != verdict.MayHaveRun):
					t.Errorf("%s, %s, %d of %d bytes: %+v, %v", test.name, name, size, len(test.text), got, err)
				}
			}
		}
	}
}

// Guards against a part of a prompt's answer that counts as the whole, and against a stream that is not resumed because a
// frame that was cut off counts as a violation of the protocol.
func TestPromptAnswerOfAFailedConnectionIsBrokenOff(t *testing.T) {
	whole, lines := "one two", ""
	for _, f := range frames("r1", 1, "one ", "two") {
		lines += frameLine(f)
	}
	for framing, text := range map[string]string{
		"chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(lines) + "0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\n\r\n" + lines,
	} {
		for name, failure := range failures {
			for size := range len(text) + 1 {
				read, err := generate(context.Background(), failedClient(text[:size], failure), NewReceiver("r1"))
				complete := size > strings.LastIndex(text, "}") // the last frame states the length and the checksum
				if err == nil != complete || !strings.HasPrefix(whole, read) || complete && read != whole || IsViolation(err) {
					t.Errorf("%s, %s, %d of %d bytes: %q, %v", framing, name, size, len(text), read, err)
				}
			}
		}
	}
}

// Guards against cancels, reservations and lists of holdings that count as done after a part of a reply.
func TestReplyOfAFailedConnectionIsNone(t *testing.T) {
	const body = `{"granted":true}`
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + body, "HTTP/1.1 200 OK\r\n" + chunksField + chunk(body) + "0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" + body,
	} {
		for name, failure := range failures {
			for size := range len(text) + 1 {
				whole := size == len(text) && (failure == nil || strings.Contains(text, ": "))
				for kind, err := range callAll(failedClient(text[:size], failure)) {
					if whole != (err == nil) {
						t.Errorf("%s, %s, %q: %v", kind, name, text[:size], err)
					}
				}
			}
		}
	}
}

// callAll makes each kind of small call, and returns the errors.
func callAll(c *Client) map[string]error {
	_, cancel := c.Cancel(context.Background(), "peer", wire.CancelRequest{})
	_, reserve := c.Reserve(context.Background(), "peer", &wire.ReserveRequest{})
	_, holdings := c.Holdings(context.Background(), "peer")
	return map[string]error{"cancel": cancel, "reserve": reserve, "holdings": holdings}
}
