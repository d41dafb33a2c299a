package forward

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"celeryport/control"
	"celeryport/httpwire"
)

// failingCaller is a connection of a caller that sends some text, and then fails. Like the kernel, it reports that once.
type failingCaller struct {
	net.Conn
	text io.Reader
	err  error
}

func (c *failingCaller) Read(p []byte) (int, error) {
	if n, _ := c.text.Read(p); n > 0 {
		return n, nil
	}
	if err := c.err; err != nil {
		c.err = nil
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	return 0, io.EOF
}

// callerFailures are errors with which connections of callers end.
var callerFailures = map[string]error{"end": nil, "reset": syscall.ECONNRESET, "time-out of the kernel": syscall.ETIMEDOUT, "no route": syscall.EHOSTUNREACH}

// Guards against calls that go on until their deadlines for callers whose connections have failed, since the time-out of
// the kernel is taken for that of the read, or since bytes of another call precede the failure.
func TestCallerWhoseConnectionHasFailedHasLeft(t *testing.T) {
	const call = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, failure := range callerFailures {
		for _, text := range []string{call, call + "GET"} {
			halfClosed := failure == nil && text != call // both calls are answered
			t.Run(name+text[len(call):], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, lines := newCallerServer(t)
					s.options.Plane = fixedPlane{view: &control.View{}} // calls wait for their settings
					caller, accepted := net.Pipe()
					go func() { _, _ = io.Copy(io.Discard, caller) }()
					s.serveConn(&failingCaller{accepted, strings.NewReader(text), failure})
					synctest.Wait()
					left := false
					for _, line := range lines.AllEntries() {
						left = left || line.Data["event"] == eventCallerLeft.Number
					}
					if left == halfClosed {
						t.Errorf("logged that the caller left: %t", left)
					}
					s.Close()
				})
			})
		}
	}
}

// countingDialect counts the calls.
type countingDialect struct {
	callDialect
	calls int
}

func (d *countingDialect) DecodeCall(head *httpwire.RequestHead) (*Call, error) {
	d.calls++
	return d.callDialect.DecodeCall(head)
}

// Guards against a part of a call that is taken for the whole because the connection of its caller has failed, and against
// an answer to nobody.
func TestPartOfACallIsNoCall(t *testing.T) {
	const head = http.MethodPost + " / HTTP/1.1\r\nHost: a\r\n"
	for _, text := range []string{
		head + "Content-Length: 4\r\n\r\nbody", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nA: b\r\n\r\n",
		head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for name, failure := range callerFailures {
			for size := range len(text) {
				var calls int
				var answer string
				synctest.Test(t, func(t *testing.T) { calls, answer = sendFailing(t, text[:size], failure) })
				if calls > 0 || answer != "" {
					t.Errorf("%s, %q: %d calls, answer %q", name, text[:size], calls, answer)
				}
			}
		}
	}
}

// sendFailing lets a caller send a text on a connection that fails then, and returns the number of calls that were taken,
// and what was written to the caller but for the demand for a body.
func sendFailing(t *testing.T, text string, failure error) (int, string) {
	s, _ := newCallerServer(t)
	dialect := &countingDialect{}
	s.options.Dialect = dialect
	caller, accepted := net.Pipe()
	got := make(chan string, 1)
	go func() {
		answer, _ := io.ReadAll(caller)
		got <- string(answer)
	}()
	s.serveConn(&failingCaller{accepted, strings.NewReader(text), failure})
	s.Close()
	return dialect.calls, strings.TrimPrefix(<-got, "HTTP/1.1 100 Continue\r\n\r\n")
}
