package entry

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failingCaller is a connection of a caller that sends a text, and then fails. Like the kernel, it reports that once.
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

func (c *failingCaller) Write(p []byte) (int, error) { return len(p), nil }

func (*failingCaller) Close() error                     { return nil }
func (*failingCaller) SetDeadline(time.Time) error      { return nil }
func (*failingCaller) SetReadDeadline(time.Time) error  { return nil }
func (*failingCaller) SetWriteDeadline(time.Time) error { return nil }
func (*failingCaller) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*failingCaller) LocalAddr() net.Addr              { return &net.TCPAddr{} }

// Guards against a part of a call that is taken for the whole, and sent on, because the connection of its caller failed.
func TestPartOfACallIsNeverSent(t *testing.T) {
	b := newTestBed(t, map[string]script{"s1": serviceAnswers("ok"), "e1": answers("ok")})
	defer b.close()
	long := strings.Repeat("x", streamThreshold+20<<10)
	prompt := completion("hello", false).body + strings.Repeat(" ", 10)
	head := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n"
	}
	chunked := func(body string) string {
		half := len(body) / 2
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	}
	sized := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	service, completions := head("/v1/services/cassa/a"), head(pathCompletions)
	for name, text := range map[string]string{
		"sized": service + sized("body"), "chunks": service + chunked("body"), "expect": service + "Expect: 100-continue\r\n" + sized("body"),
		"long": service + sized(long), "long, chunks": service + chunked(long),
		"prompt": completions + sized(prompt), "prompt, chunks": completions + chunked(prompt),
		"form": service + "Content-Type: multipart/form-data; boundary=b\r\n" + sized("--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\nc\r\n--b--\r\n"),
	} {
		for failed, failure := range map[string]error{"end": nil, "reset": syscall.ECONNRESET, "time-out of the kernel": syscall.ETIMEDOUT, "no route": syscall.EHOSTUNREACH} {
			for size := 0; size <= len(text); size = nextSize(size, len(text)) {
				before := b.totalCalls()
				conn := &failingCaller{text: strings.NewReader(text[:size]), err: failure}
				_ = b.server.http.ServeConn(conn)
				if sent := b.totalCalls() > before; sent != (size == len(text)) {
					t.Errorf("%s, %s, %d of %d bytes: sent on: %t", name, failed, size, len(text), sent)
				}
			}
		}
	}
}

// nextSize returns the next number of bytes of a text after which a connection fails.
func nextSize(size, length int) int {
	if size == length {
		return length + 1
	}
	return min(length, size+1+length/100)
}
