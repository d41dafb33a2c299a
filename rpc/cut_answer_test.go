package rpc

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards against a part of another instance's answer that counts as the whole because the instance ended midway: most
// parts of an encoded message, and an empty one, are messages themselves.
func TestPartOfAnAnswerIsNeverTheAnswer(t *testing.T) {
	whole, err := proto.Marshal(&OperateResponse{Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	length := len(whole)
	for _, test := range []struct {
		name, text string
		framed     bool
	}{
		{"sized", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, whole), true},
		{"chunks", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, whole), true},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n" + string(whole), false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + string(whole), false},
	} {
		for size := range len(test.text) + 1 {
			clients := NewClients("k", func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go answerWith(far, test.text[:size])
				return near, nil
			})
			got, err := clients.At("peer").Operate(t.Context(), &OperateRequest{})
			clients.Close()
			complete := test.framed && size == len(test.text)
			if complete != (err == nil) || complete && string(got.GetBody()) != "body" {
				t.Errorf("%s, %d of %d bytes: %q, %v", test.name, size, len(test.text), got.GetBody(), err)
			}
		}
	}
}

func answerWith(conn net.Conn, text string) {
	defer func() { _ = conn.Close() }()
	if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	}
}
