package load

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against an answer without a status that is reported as served.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	for line, answered := range map[string]bool{
		"HTTP/1.1 000 None": false, "HTTP/1.1 099 None": false, "HTTP/1.1 600 None": false, "HTTP/1.1 -200 OK": false,
		"HTTP/0.9 200 OK": false, "HTTP/2.0 200 OK": false, "HTTP/1.1 101 Switching Protocols": false,
		"HTTP/1.1 200 OK": true, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK": true,
	} {
		client := httpClient{dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				var request fasthttp.Request
				if request.Read(bufio.NewReader(far)) == nil {
					_, _ = io.WriteString(far, line+"\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
			return near, nil
		}}
		var request fasthttp.Request
		request.SetRequestURI("http://entry/")
		e, err := client.open(t.Context(), "entry", &request, time.Now().Add(time.Second))
		if answered != (err == nil) {
			t.Errorf("%q: %v", line, err)
		}
		if err == nil {
			e.close()
		}
	}
}
