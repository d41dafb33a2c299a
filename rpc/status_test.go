package rpc

import (
	"context"
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"celeryport/verdict"
)

// Guards against messages without a status that count as another instance's answer, or as the statement that a call has
// not run.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	whole, err := proto.Marshal(&OperateResponse{Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	const refusal = `{"code":"unavailable","msg":"m","meta":{"verdict":"not-run","reason":"share"}}`
	const unknown = `{"code":"unauthenticated","msg":"m"}`
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 00 None", "HTTP/1.1 020 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None",
		"HTTP/1.1 1000 None", "HTTP/1.1 2OO OK", "HTTP/1.1 -200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 200200 OK", "HTTP/1.1 ", "HTTP/1.1",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/2.0 503 Unavailable", "HTTP/3.0 200 OK", "HTTP/2 200 OK", "200 OK", "HTTP/1.1 101 Switching Protocols",
	} {
		for _, body := range []string{string(whole), refusal, unknown} {
			clients := NewClients("k", func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go answerWith(far, fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
				return near, nil
			})
			_, err := clients.At("peer").Operate(t.Context(), &OperateRequest{})
			clients.Close()
			if err == nil || verdict.From(FromTwirp(err)).Verdict != verdict.MayHaveRun {
				t.Errorf("%q, %q: %v", line, body, FromTwirp(err))
			}
		}
	}
}
