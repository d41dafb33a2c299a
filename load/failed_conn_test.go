package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/standin/answer"
	"celeryport/verdict"
)

// failedConn is a connection to an instance that sends a text, and then fails. Like the kernel, it reports that once.
type failedConn struct {
	net.Conn
	text io.Reader
	err  error
}

func (*failedConn) Write(p []byte) (int, error) { return len(p), nil }
func (*failedConn) SetDeadline(time.Time) error { return nil }
func (*failedConn) Close() error                { return nil }

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

// Guards against a report that counts a part of an answer as served, or a connection that failed as an answer that did not
// come in time.
func TestPartOfAnAnswerIsAFailure(t *testing.T) {
	prompt := newPrompt(1, 2, 4, 4)
	text, err := io.ReadAll(prompt.Reader())
	if err != nil {
		t.Fatal(err)
	}
	whole, err := json.Marshal(answer.For(string(text), prompt.MaxAnswerTokens))
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		work     *Work
		kind     string
		body     string
		complete string // ends the answer, whatever follows
	}{
		"call":   {&Work{Body: []byte("body")}, "application/json", fmt.Sprintf(`{"request":"r","digest":%q}`, answer.CallDigest([]byte("body"))), "}"},
		"prompt": {&Work{Prompt: prompt}, "application/json", fmt.Sprintf(`{"choices":[{"text":%s}]}`, whole), "}]}"},
		"stream": {&Work{Prompt: prompt, Stream: true}, contentTypeEvents, fmt.Sprintf("data: {\"choices\":[{\"text\":%s}]}\n\n", whole) + "data: [DONE]\n\n", "[DONE]"},
	} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: " + test.kind + "\r\n"
		for _, answer := range []string{
			fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(test.body), test.body),
			fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(test.body), test.body),
			head + "\r\n" + test.body,
		} {
			for failed, failure := range map[string]error{"end": nil, "reset": syscall.ECONNRESET, "time-out of the kernel": syscall.ETIMEDOUT} {
				for size := range len(answer) + 1 {
					o := readFailing(answer[:size], failure, test.work)
					whole := strings.Contains(answer[:size], test.complete)
					shown := o.Result == Failed || o.Result == Crossed && failure == nil // a part that ended in order was delivered as the whole
					if o.Result == Served && !whole || o.Result != Served && !shown {
						t.Errorf("%s, %s, %q: %+v", name, failed, answer[:size], o)
					}
				}
			}
		}
	}
}

// readFailing returns the outcome of a request that is answered with a text on a connection that fails then.
func readFailing(text string, failure error, w *Work) Outcome {
	client := &httpClient{dial: func(context.Context, string) (net.Conn, error) {
		return &failedConn{text: strings.NewReader(text), err: failure}, nil
	}}
	var request fasthttp.Request
	request.SetRequestURI("http://entry/")
	c := &caller{httpClient: client}
	due := time.Now()
	e, err := client.open(context.Background(), "entry", &request, due.Add(time.Minute))
	if err != nil {
		return c.outcomeWithoutAnswer(newAddressCache(client, nil, "", ""), "entry", err)
	}
	defer e.close()
	o := Outcome{Status: e.response.StatusCode(), Verdict: verdict.Ran}
	c.read(e, w, due, &o)
	return o
}
