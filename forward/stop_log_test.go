package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"celeryport/control"
	"celeryport/httpwire"
)

// namedDialect takes the name of a call from its head.
type namedDialect struct{ plainDialect }

func (d namedDialect) DecodeCall(head *httpwire.RequestHead) (*Call, error) {
	if head.Target == "/bad" {
		return nil, errors.New("bad")
	}
	return &Call{ID: d.CallID(head)}, nil
}

// Guards against connections that end in a stop without a line in the log that names the call, or the caller if the call
// has no name yet.
func TestEveryEndInAStopIsLogged(t *testing.T) {
	const head = "PUT /a HTTP/1.1\r\nHost: a\r\nName: one\r\nContent-Length: 4\r\n\r\n"
	closes := func(_ *Server, caller net.Conn) { caller.Close() }
	for name, test := range map[string]struct {
		sent  string
		end   func(s *Server, caller net.Conn) // once the stop has begun
		event int
		field string
		want  any
	}{
		"head incomplete":                       {"PUT /a HTTP/1.1\r\nHo", nil, eventUnreadable.Number, "cause", endedStopping},
		"body incomplete":                       {head + "ab", nil, eventRefused.Number, "call", "one"},
		"body incomplete, caller leaves":        {head + "ab", closes, eventCallCutOff.Number, "call", "one"},
		"body incomplete, cause":                {head + "ab", closes, eventCallCutOff.Number, "cause", endedByCaller},
		"call can't be decoded":                 {"GET /bad HTTP/1.1\r\nHost: a\r\n\r\n", nil, eventFailed.Number, "call", ""},
		"call waits":                            {head + "abcd", nil, eventRefused.Number, "call", "one"},
		"call waits, caller leaves":             {head + "abcd", closes, eventCallerLeft.Number, "call", "one"},
		"call waits, caller closes its half":    {head + "abcd", nil, eventCallerLeft.Number, "status", http.StatusServiceUnavailable},
		"no call":                               {"", nil, eventIdleClosed.Number, "cause", endedStopping},
		"accepted after the end of the closing": {"", nil, eventIdleClosed.Number, "cause", endedStopping},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, lines := newCallerServer(t)
				s.options.Dialect = namedDialect{}
				s.options.Plane = fixedPlane{view: &control.View{}} // calls wait for their settings
				caller, accepted := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, caller) }() // the log is checked
				late := name == "accepted after the end of the closing"
				if !late {
					s.serveConn(leavingConn(accepted, name == "call waits, caller closes its half"))
					if _, err := io.WriteString(caller, test.sent); err != nil {
						t.Fatal(err)
					}
				}
				synctest.Wait()
				s.StopTaking()
				if test.end != nil {
					test.end(s, caller)
				}
				if late {
					s.serveConn(accepted)
				}
				s.Finish(time.Now().Add(50 * time.Millisecond))
				caller.Close()
				synctest.Wait()
				checkLine(t, lines, test.event, test.field, test.want)
			})
		})
	}
}

// leavingConn returns a connection whose caller closes its sending half some time after its call, if it does.
func leavingConn(conn net.Conn, leaves bool) net.Conn {
	if !leaves {
		return conn
	}
	return &halfLeavingConn{Conn: conn}
}

type halfLeavingConn struct {
	net.Conn
	reads int
}

func (c *halfLeavingConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		time.Sleep(10 * time.Millisecond)
		return 0, io.EOF
	}
	return c.Conn.Read(p)
}

// checkLine checks that there is one line with the event's number, and a field of it.
func checkLine(t *testing.T, lines *logtest.Hook, number int, field string, want any) {
	t.Helper()
	found := 0
	for _, line := range lines.AllEntries() {
		if line.Data["event"] == number {
			found++
			if got := line.Data[field]; got != want {
				t.Errorf("%s is %v, want %v: %v", field, got, want, line.Data)
			}
		}
	}
	if found != 1 {
		t.Errorf("%d lines with event %d of %d lines: %v", found, number, len(lines.AllEntries()), lines.AllEntries())
	}
}
