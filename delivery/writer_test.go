package delivery

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
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
		pieces    bool
	}{
		"reads slowly":                      {perSecond, 20 * perSecond, true, 22 * time.Second, false},
		"reads nothing":                     {0, 20 * perSecond, false, WriteTimeout, false},
		"reads too slowly at all":           {perSecond, 60 * perSecond, false, Timeout, false},
		"pieces, reads slowly":              {20 * perSecond, 400 * perSecond, true, 22 * time.Second, true},
		"pieces, reads nothing":             {0, 400 * perSecond, false, WriteTimeout, true},
		"pieces, reads too slowly at all":   {10 * perSecond, 600 * perSecond, false, Timeout, true},
		"small pieces, reads too slowly":    {perSecond, 60 * perSecond, false, Timeout, true},
		"small pieces, reads slowly enough": {perSecond, 20 * perSecond, true, 22 * time.Second, true},
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
				if c.pieces {
					w.Pieces(&httpwire.ResponseHead{Status: 200}, slices.Collect(slices.Chunk(make([]byte, c.size), c.size/4)), func(int64) {})
				} else {
					w.Whole(&httpwire.ResponseHead{Status: 200}, make([]byte, c.size))
				}
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

// Guards against an answer that holds all its memory until its caller has read the last of it, or gives back what is not
// written yet.
func TestWrittenPiecesGiveTheirMemoryBack(t *testing.T) {
	const pieces, size = 8, minWrite
	caller, conn := net.Pipe()
	defer caller.Close()
	body, reader := make([][]byte, pieces), bufio.NewReader(caller)
	for at := range body {
		body[at] = bytes.Repeat([]byte{'0' + byte(at)}, size)
	}
	returned, done := make(chan int64, pieces), make(chan struct{})
	w := &Writer{Conn: conn}
	go func() {
		defer close(done)
		w.Pieces(&httpwire.ResponseHead{Status: 200}, body, func(n int64) { returned <- n })
	}()
	head, err := httpwire.ReadResponseHead(reader, 1<<10, http.MethodPost)
	if err != nil || head.Body != (httpwire.Framing{Kind: httpwire.Sized, Length: pieces * size}) {
		t.Fatalf("%+v, %v", head, err)
	}
	for at := range pieces {
		got := make([]byte, size)
		if _, err := io.ReadFull(reader, got); err != nil || !bytes.Equal(got, bytes.Repeat([]byte{'0' + byte(at)}, size)) {
			t.Fatalf("piece %d: %v", at, err)
		}
		if at == pieces-1 {
			break // its memory goes with the end of the call
		}
		if n := <-returned; n != size || body[at] != nil || at+2 < pieces && body[at+2] == nil {
			t.Errorf("piece %d: %d bytes returned, dropped %t", at, n, body[at] == nil)
		}
	}
	if <-done; !w.Complete() || len(returned) > 0 {
		t.Errorf("complete %t", w.Complete())
	}
}

// Guards against streams that keep a copy of their longest event for as long as they last.
func TestLongPartIsNotKept(t *testing.T) {
	near, far := net.Pipe()
	w := &Writer{Conn: near}
	part := bytes.Repeat([]byte("x"), 1<<20)
	got := make(chan []byte, 1)
	go func() {
		answer, err := http.ReadResponse(bufio.NewReader(far), nil)
		if err != nil {
			t.Error(err)
			got <- nil
			return
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			t.Error(err)
		}
		got <- body
	}()
	w.Begin(&httpwire.ResponseHead{Status: http.StatusOK})
	w.Part(part)
	if kept := cap(w.buffer); kept > 4*minWrite {
		t.Errorf("%d bytes are kept for a part of %d", kept, len(part))
	}
	w.End()
	near.Close()
	if body := <-got; !bytes.Equal(body, part) || !w.Complete() {
		t.Errorf("the caller got %d bytes", len(body))
	}
}
