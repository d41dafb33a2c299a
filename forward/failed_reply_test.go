package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"celeryport/endcheck"
	"celeryport/httpwire"
)

// failingUpstream is a connection to an upstream that reads a small request, sends a text, and fails. Like the kernel, the
// connection reports that once.
type failingUpstream struct {
	endedConn
	err error
}

func (c *failingUpstream) Read(p []byte) (int, error) {
	n, err := c.endedConn.Read(p)
	if errors.Is(err, io.EOF) && c.err != nil {
		err, c.err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.err)}, nil
	}
	return n, err
}

// sendToFailing sends a small request to an upstream that answers with a text and whose connection then fails.
func sendToFailing(t *testing.T, send func(context.Context, *Server, *node) error, text string, failure error) (err error) {
	synctest.Test(t, func(t *testing.T) {
		s, n := newServerWithNode(t)
		s.options.Dialect, s.fleet.options.Dialect = cutDialect{}, cutDialect{}
		s.fleet.options.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				reader := bufio.NewReader(far)
				if head, err := httpwire.ReadRequestHead(reader, 1<<12); err == nil {
					_, _ = httpwire.NewBody(reader, head.Body).ReadAll(1 << 12)
					_, _ = io.WriteString(far, text)
				}
			}()
			return &failingUpstream{endedConn{near}, failure}, nil
		}
		err = send(t.Context(), s, n)
		s.fleet.close()
	})
	return err
}

// Guards against reservations and releases of memory, polls, health checks and checks of an answer's end that count as
// answered by a reply whose connection has failed.
func TestReplyOfAFailedConnectionIsNone(t *testing.T) {
	requests := map[string]func(context.Context, *Server, *node) error{
		"check of an end": func(ctx context.Context, s *Server, n *node) error {
			service := s.options.Plane.View().Tree.Forwarding.Service("model")
			if observed, err := s.fleet.askIncarnationAnew(ctx, n, service); err != nil || observed != endcheck.Same {
				return io.ErrUnexpectedEOF
			}
			return nil
		},
	}
	for name, request := range smallRequests {
		requests[name] = request.send
	}
	for name, failure := range map[string]error{"reset": syscall.ECONNRESET, "time-out of the kernel": syscall.ETIMEDOUT, "no route": syscall.EHOSTUNREACH} {
		for _, text := range []string{doneReply, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.0 200 OK\r\n\r\nok"} {
			framed := strings.Contains(text, ": ")
			for size := range len(text) + 1 {
				for kind, send := range requests {
					if err := sendToFailing(t, send, text[:size], failure); (framed && size == len(text)) != (err == nil) {
						t.Errorf("%s, %s, %q: %v", name, kind, text[:size], err)
					}
				}
			}
		}
	}
}

// Guards against replies without a status that count as the answer to a small request, above all as a promise of memory or
// as one of the same incarnation.
func TestReplyWithoutAStatusIsNone(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1 1000 None", "HTTP/1.1 2OO OK", "HTTP/1.1 -200 OK",
		"HTTP/1.1 200200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 ", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols",
	} {
		for kind, request := range smallRequests {
			if err := sendToFailing(t, request.send, line+"\r\nContent-Length: 2\r\n\r\nok", nil); err == nil {
				t.Errorf("%s, %q: no error", kind, line)
			}
		}
	}
}
