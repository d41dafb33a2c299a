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

const (
	// writeTimeout is how long a caller may read nothing of an answer that waits for it.
	writeTimeout = 5 * time.Second
	// deliveryTimeout bounds the time for which a caller that reads slowly holds a part of an
	// answer.
	deliveryTimeout = 30 * time.Second
)

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
		w.failure = w.deliver(w.buffer)
	}
	w.begun = true
	w.buffer = w.buffer[:0]
}

// deliver writes data for as long as the caller keeps reading some of it.
func (w *callerWriter) deliver(data []byte) error {
	until := time.Now().Add(deliveryTimeout)
	for {
		if err := w.conn.SetWriteDeadline(earlier(until, time.Now().Add(writeTimeout))); err != nil {
			return err
		}
		n, err := w.conn.Write(data)
		if err == nil {
			return nil
		}
		if n == 0 || !isTimeout(err) || !time.Now().Before(until) {
			return err
		}
		data = data[n:]
	}
}

// reusable reports whether another call may follow on the connection.
func (w *callerWriter) reusable() bool { return w.ended && !w.close }
