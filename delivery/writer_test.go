package delivery

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/httpwire"
)

// Guards against an answer that is cut off although its caller reads it, slowly, and against one
// that is held for ever for a caller that reads nothing.
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	const perSecond = 1 << 10
	for name, c := range map[string]struct {
		perSecond int
		size      int
		whole     bool
		within    time.Duration
	}{
		"reads slowly":            {perSecond, 20 * perSecond, true, 22 * time.Second},
		"reads nothing":           {0, 20 * perSecond, false, WriteTimeout},
		"reads too slowly at all": {perSecond, 60 * perSecond, false, Timeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller, conn := net.Pipe()
				defer caller.Close()
				read := make(chan int, 1)
				go func() {
					got := 0
					for buffer := make([]byte, max(1, c.perSecond)); c.perSecond > 0; time.Sleep(time.Second) {
						n, err := caller.Read(buffer)
						got += n
						if err != nil {
							break
						}
					}
					read <- got
				}()
				w := &Writer{Conn: conn}
				began := time.Now()
				w.Whole(&httpwire.ResponseHead{Status: 200}, make([]byte, c.size))
				took := time.Since(began)
				conn.Close()
				if got := <-read; w.ended != c.whole || c.whole && got < c.size || took > c.within {
					t.Errorf("whole %v after %s, %d of %d bytes read, want %v within %s", w.ended, took, got, c.size, c.whole, c.within)
				}
			})
		})
	}
}

// Guards against bytes after an answer without a body, which callers take for a part of the next answer on the connection.
func TestNothingFollowsAnAnswerWithoutABody(t *testing.T) {
	for name, test := range map[string]struct {
		method string
		status int
		want   string
	}{
		"204":  {http.MethodPost, http.StatusNoContent, "HTTP/1.1 204 No Content\r\n\r\n"},
		"HEAD": {http.MethodHead, http.StatusOK, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"body": {http.MethodPost, http.StatusOK, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	} {
		caller, conn := net.Pipe()
		go func() {
			w := &Writer{Conn: conn, Method: test.method}
			w.Begin(&httpwire.ResponseHead{Status: test.status})
			w.End()
			conn.Close()
		}()
		if got, _ := io.ReadAll(caller); string(got) != test.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}
