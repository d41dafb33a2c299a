package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
)

// cutDialect is a smallDialect whose answers to calls bear the ID of the call.
type cutDialect struct{ smallDialect }

func (cutDialect) DecodeAnswer(head *httpwire.ResponseHead) Answer {
	return Answer{CallID: head.Fields.Get("Call")}
}

// sendSmall sends a small request to an upstream that answers with a text and closes the connection.
func sendSmall(t *testing.T, name, text string) (err error) {
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
			return endedConn{near}, nil
		}
		err = smallRequests[name].send(t.Context(), s, n)
		s.fleet.close()
	})
	return err
}

// endedConn is a connection whose end is read like that of a socket, although net.Pipe sets no deadline then.
type endedConn struct{ net.Conn }

func (c endedConn) SetReadDeadline(at time.Time) error {
	if err := c.Conn.SetReadDeadline(at); !errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	return nil
}

const (
	lateAnswer = "HTTP/1.1 200 OK\r\nCall: other\r\nContent-Length: 2\r\n\r\nok"
	doneReply  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// Guards against orders and polls that count as answered by a late answer of a call.
func TestLateAnswerOfACallAnswersNoSmallRequest(t *testing.T) {
	for name := range smallRequests {
		for text, answered := range map[string]bool{
			lateAnswer:             false,
			lateAnswer + doneReply: true,
			lateAnswer + "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n": name == "health check", // any answer shows that the path holds
		} {
			if err := sendSmall(t, name, text); answered != (err == nil) {
				t.Errorf("%s, %q: %v", name, text, err)
			}
		}
	}
}

// Guards against orders, polls and health checks that count as answered by a part of an answer.
func TestPartOfAnAnswerAnswersNoSmallRequest(t *testing.T) {
	for _, text := range []string{
		doneReply, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nok",
	} {
		unframed := !strings.Contains(text, ": ")
		for size := range len(text) + 1 {
			stated := size == len(text) || unframed && strings.Contains(text[:size], "\r\n\r\n") // the status says all of it
			for name := range smallRequests {
				if err := sendSmall(t, name, text[:size]); stated != (err == nil) {
					t.Errorf("%s, %q: %v", name, text[:size], err)
				}
			}
		}
	}
}
