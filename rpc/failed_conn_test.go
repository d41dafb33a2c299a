package rpc

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"celeryport/verdict"
)

// failedConn is a connection that fails once its peer has closed it. Like the kernel, it reports that once.
type failedConn struct {
	net.Conn
	err error
}

func (c *failedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.err != nil {
		err, c.err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.err)}, nil
	}
	return n, err
}

func (c *failedConn) SetReadDeadline(at time.Time) error {
	_ = c.Conn.SetReadDeadline(at) // that of a pipe fails after the end
	return nil
}

// failures are errors with which connections end.
var failures = map[string]error{"end": nil, "reset": syscall.ECONNRESET, "time-out of the kernel": syscall.ETIMEDOUT, "no route": syscall.EHOSTUNREACH}

// Guards against a part of an answer that counts as the whole because the connection failed.
func TestPartOfAFailedAnswerIsNeverTheAnswer(t *testing.T) {
	whole, err := proto.Marshal(&OperateResponse{Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(whole), whole),
		"HTTP/1.1 200 OK\r\n\r\n" + string(whole),
	} {
		framed := strings.Contains(text, ": ")
		for name, failure := range failures {
			for size := range len(text) + 1 {
				clients := NewClients("k", func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go answerWith(far, text[:size])
					return &failedConn{near, failure}, nil
				})
				_, err := clients.At("peer").Operate(t.Context(), &OperateRequest{})
				clients.Close()
				complete := framed && size == len(text)
				if complete != (err == nil) || !complete && verdict.From(FromTwirp(err)).Verdict != verdict.MayHaveRun {
					t.Errorf("%s, %q: %v", name, text[:size], err)
				}
			}
		}
	}
}

// Guards against a part of an answer that counts as the whole, or as the statement that the call has not run, because the
// write of a long message has met the reset.
func TestAnswerThatIsResetDuringAMessageIsNone(t *testing.T) {
	const attempts = 5
	message := &OperateRequest{Body: make([]byte, 16<<20)}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n\n\x02", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\n\x02\r\n", "HTTP/1.1 200 OK\r\n\r\n\n\x00",
		"HTTP/1.1 503 Unavailable\r\nContent-Length: 99\r\n\r\n" + `{"code":"unavailable","msg":"m","meta":{"verdict":"not-run","reason":"share"}}`,
		"HTTP/1.1 503 Unavailable\r\n\r\n" + `{"code":"unavailable","msg":"m","meta":{"verdict":"not-run","reason":"share"}}`,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				reader := bufio.NewReader(conn)
				_, _ = reader.ReadString('\n')
				_, _ = io.WriteString(conn, text)
				_, _ = io.CopyN(io.Discard, reader, 64<<10)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}()
		for range attempts {
			clients := NewClients("k", nil)
			got, err := clients.At(listener.Addr().String()).Operate(t.Context(), message)
			clients.Close()
			if err == nil || verdict.From(FromTwirp(err)).Verdict != verdict.MayHaveRun {
				t.Errorf("%q: %v, %v", text, got, err)
			}
		}
	}
}

// takingControl records the messages that it gets.
type takingControl struct {
	stubControl
	taken chan string
}

func (c takingControl) Operate(_ context.Context, r *OperateRequest) (*OperateResponse, error) {
	c.taken <- string(r.Body)
	return &OperateResponse{}, nil
}

// acceptOnce is a listener for one connection.
type acceptOnce struct {
	net.Listener
	conns chan net.Conn
}

func (l acceptOnce) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l acceptOnce) Close() error   { return nil }
func (l acceptOnce) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a part of a message that is taken for the whole because the connection failed.
func TestPartOfAMessageIsNeverTaken(t *testing.T) {
	message, err := proto.Marshal(&OperateRequest{Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	head := "POST " + ControlPathPrefix + "Operate HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\nContent-Type: application/protobuf\r\n"
	for _, text := range []string{
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(message), message),
		fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(message), message),
	} {
		for name, failure := range failures {
			for size := strings.Index(text, "\r\n\r\n"); size <= len(text); size++ {
				control := takingControl{taken: make(chan string, 1)}
				near, far := net.Pipe()
				listener := acceptOnce{conns: make(chan net.Conn, 1)}
				listener.conns <- &failedConn{near, failure}
				close(listener.conns)
				server := http.Server{Handler: Authenticate(Keys{Instance: "k"}, NewControlServer(control))}
				_ = server.Serve(listener)
				_, _ = io.WriteString(far, text[:size])
				if size == len(text) {
					if got := <-control.taken; got != "body" {
						t.Errorf("%s: got %q", name, got)
					}
				}
				_ = far.Close()
				_ = server.Shutdown(t.Context())
				if len(control.taken) > 0 {
					t.Errorf("%s, %q: taken", name, text[:size])
				}
			}
		}
	}
}
