package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sys/unix"

	"celeryport/httpwire"
	"celeryport/verdict"
)

// longRefusal is longer than the receive buffer of a lateReader, and fits into the send buffer of a server.
var longRefusal = strings.Repeat("0123456789abcde\n", 4<<10)

// longDialect answers each call at once.
type longDialect struct{ plainDialect }

func (longDialect) DecodeCall(*httpwire.RequestHead) (*Call, error) {
	return nil, verdict.Refuse(verdict.ReasonDraining, 0, "%s", longRefusal)
}

// lateReader is a caller with a small receive buffer that reads nothing for a time.
type lateReader struct {
	t    *testing.T
	conn *net.TCPConn

	read  bytes.Buffer
	size  atomic.Int64  // of what was read
	ended chan struct{} // closed when it reads no more
}

// newLateReader returns a caller that has sent a call to a server, and the answer of which was written to the kernel.
func newLateReader(t *testing.T, s *Server, lines *logtest.Hook, call string) *lateReader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		return err
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.serveConn(accepted)
	if _, err := io.WriteString(conn, call); err != nil {
		t.Fatal(err)
	}
	awaitLine(t, lines, eventRefused.Number)
	return &lateReader{t: t, conn: conn.(*net.TCPConn), ended: make(chan struct{})}
}

// awaitLine waits for a line of the log and returns its fields.
func awaitLine(t *testing.T, lines *logtest.Hook, number int) map[string]any {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		for _, line := range lines.AllEntries() {
			if line.Data["event"] == number {
				return line.Data
			}
		}
	}
	t.Fatalf("no line with event %d", number)
	return nil
}

// readAfter reads from a time on, until the connection ends or the caller's machine is cut off.
func (r *lateReader) readAfter(late time.Duration) {
	defer close(r.ended)
	time.Sleep(late)
	for buffer := make([]byte, 1<<10); ; {
		n, err := r.conn.Read(buffer)
		r.read.Write(buffer[:n])
		r.size.Add(int64(n))
		if err != nil {
			return
		}
	}
}

const (
	keptCall = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	lastCall = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)

// Guards against answers that the log names as received, although their connections were closed before their callers had
// all bytes.
func TestAnswersThatWereNotAcknowledgedAreLogged(t *testing.T) {
	for name, test := range map[string]struct {
		call  string
		end   func(s *Server, r *lateReader)
		cause endCause
	}{
		"stop, last answer":    {lastCall, func(s *Server, _ *lateReader) { s.Close() }, endedStopping},
		"stop, kept":           {keptCall, func(s *Server, _ *lateReader) { s.Close() }, endedStopping},
		"reset by the caller":  {keptCall, func(_ *Server, r *lateReader) { _ = r.conn.SetLinger(0); r.conn.Close() }, endedByCaller},
		"closed by the caller": {lastCall, func(_ *Server, r *lateReader) { r.conn.Close() }, endedByCaller}, // with unread bytes
	} {
		t.Run(name, func(t *testing.T) {
			s, lines := newCallerServer(t)
			s.options.Dialect = longDialect{}
			r := newLateReader(t, s, lines, test.call)
			test.end(s, r)
			line := awaitLine(t, lines, eventUnacknowledged.Number)
			if n, _ := line["bytes"].(int); line["cause"] != test.cause || n < len(longRefusal)/2 || n > len(longRefusal)+1000 {
				t.Errorf("%v", line)
			}
			s.Close()
			if logged := len(linesOf(lines, eventUnacknowledged.Number)); logged != 1 {
				t.Errorf("%d lines", logged)
			}
		})
	}
}

// Guards against lines about answers that arrived.
func TestAcknowledgedAnswersAreNotLogged(t *testing.T) {
	for _, call := range []string{keptCall, lastCall} {
		s, lines := newCallerServer(t)
		s.options.Dialect = longDialect{}
		r := newLateReader(t, s, lines, call)
		go r.readAfter(0)
		for until := time.Now().Add(10 * time.Second); r.size.Load() < int64(len(longRefusal)) && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		s.Close()
		<-r.ended
		if logged := linesOf(lines, eventUnacknowledged.Number); len(logged) > 0 {
			t.Errorf("%q: %v", call, logged)
		}
	}
}

// linesOf returns the fields of the lines with the event's number.
func linesOf(lines *logtest.Hook, number int) (fields []string) {
	for _, line := range lines.AllEntries() {
		if line.Data["event"] == number {
			fields = append(fields, fmt.Sprint(line.Data))
		}
	}
	return fields
}
