package forward

import (
	"net"
	"net/http"
	"time"

	"celeryport/httpwire"
)

// callerWriter writes the answer of one call.
type callerWriter struct {
	conn    net.Conn
	close   bool // close the connection after the answer
	method  string
	buffer  []byte
	begun   bool
	ended   bool  // the answer was written completely
	failure error // first write error of the connection
}

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 5 * time.Second

// whole writes a complete answer with its body.
func (w *callerWriter) whole(head *httpwire.ResponseHead, body []byte) {
	head.Body = httpwire.Framing{Kind: httpwire.Sized, Length: int64(len(body))}
	head.Close = w.close
	w.buffer = head.Append(w.buffer[:0])
	if w.method != http.MethodHead {
		w.buffer = append(w.buffer, body...)
	}
	w.flush()
	w.ended = w.failure == nil
}

// begin prepares the head of a chunked answer; it is sent with the first part.
func (w *callerWriter) begin(head *httpwire.ResponseHead) {
	head.Body = httpwire.Framing{Kind: httpwire.Chunked}
	head.Close = w.close
	w.buffer = head.Append(w.buffer[:0])
	w.begun = true
}

// part writes one part of a chunked answer.
func (w *callerWriter) part(data []byte) {
	w.buffer = httpwire.AppendChunk(w.buffer, data)
	w.flush()
}

// end completes a chunked answer. Without it the caller can tell that the answer is truncated.
func (w *callerWriter) end() {
	w.buffer = append(w.buffer, httpwire.LastChunk...)
	w.flush()
	w.ended = w.failure == nil
}

func (w *callerWriter) flush() {
	if w.failure == nil {
		w.failure = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if w.failure == nil {
		_, w.failure = w.conn.Write(w.buffer)
	}
	w.begun = true
	w.buffer = w.buffer[:0]
}

// reusable reports whether another call may follow on the connection.
func (w *callerWriter) reusable() bool { return w.ended && !w.close }
