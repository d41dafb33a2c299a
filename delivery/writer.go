// Package delivery writes answers to callers that may read slowly.
package delivery

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
)

// Writer writes the answer of one call.
type Writer struct {
	Conn    net.Conn
	Method  string        // of the call
	Close   bool          // close the connection after the answer
	Ending  func() bool   // reports, when the head is written, whether the connection has to be closed; nil: it has not
	IdleFor time.Duration // for which the connection may be idle after the answer; stated to the caller in whole seconds; less than one: not stated
	buffer  []byte
	begun   bool
	noBody  bool  // no byte may follow the head
	ended   bool  // the answer was written completely
	failure error // first write error of the connection
}

// Begun reports whether the caller may have received a part of the answer.
func (w *Writer) Begun() bool { return w.begun }

// Failure returns the first write error of the connection.
func (w *Writer) Failure() error { return w.failure }

const (
	// WriteTimeout is how long a caller may read nothing of an answer that waits for it.
	WriteTimeout = 5 * time.Second
	// Timeout bounds the time for which a caller that reads slowly holds a part of an
	// answer.
	Timeout = 30 * time.Second
)

// Continue asks the caller for the body of its call.
func Continue(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil { // that of the last answer has passed
		return err
	}
	_, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// Whole writes a complete answer with its body.
func (w *Writer) Whole(head *httpwire.ResponseHead, body []byte) {
	head.Body = httpwire.Framing{Kind: httpwire.Sized, Length: int64(len(body))}
	w.stateEnd(head)
	w.buffer = head.Append(w.buffer[:0])
	if w.Method != http.MethodHead {
		w.buffer = append(w.buffer, body...)
	}
	w.flush()
	w.ended = w.failure == nil
}

// Pieces writes a complete answer with its body in pieces. Each piece is dropped, and written called with its length,
// when it has been written: callers may read for longer than an upstream takes for the whole answer.
func (w *Writer) Pieces(head *httpwire.ResponseHead, pieces [][]byte, written func(n int64)) {
	length := int64(0)
	for _, piece := range pieces {
		length += int64(len(piece))
	}
	head.Body = httpwire.Framing{Kind: httpwire.Sized, Length: length}
	w.stateEnd(head)
	w.buffer = head.Append(w.buffer[:0])
	if w.Method == http.MethodHead {
		pieces = nil
	}
	until, waiting := time.Now().Add(Timeout), int64(0)
	for at, piece := range pieces {
		w.buffer = append(w.buffer, piece...)
		waiting += int64(len(piece))
		pieces[at] = nil
		if at == len(pieces)-1 || len(w.buffer) < minWrite {
			continue // the last part is written below
		}
		if w.flushBy(until); w.failure != nil {
			return
		}
		written(waiting)
		waiting = 0
	}
	w.flushBy(until)
	w.ended = w.failure == nil
}

// minWrite is the size in bytes from which a part of an answer is written.
const minWrite = 64 << 10

// Begin prepares the head of a chunked answer; it is sent with the first part.
func (w *Writer) Begin(head *httpwire.ResponseHead) {
	head.Body = httpwire.Framing{Kind: httpwire.Chunked}
	w.noBody = w.Method == http.MethodHead
	if head.Status == http.StatusNoContent || head.Status == http.StatusNotModified {
		w.noBody, head.Body = true, httpwire.Framing{}
	}
	w.stateEnd(head)
	w.buffer = head.Append(w.buffer[:0])
	w.begun = true
}

// Part writes one part of a chunked answer, a long one in several chunks: what is buffered at a time is kept until the end.
func (w *Writer) Part(data []byte) {
	until := time.Now().Add(Timeout)
	for piece := range slices.Chunk(data, minWrite) {
		w.buffer = httpwire.AppendChunk(w.buffer, piece)
		w.flushBy(until)
	}
}

// End completes a chunked answer. Without it the caller can tell that the answer is truncated.
func (w *Writer) End() {
	if !w.noBody { // the caller would take it for a part of the next answer
		w.buffer = append(w.buffer, httpwire.LastChunk...)
	}
	w.flush()
	w.ended = w.failure == nil
}

// stateEnd states in the head of an answer whether the connection is closed after it, or for how long it stays open.
func (w *Writer) stateEnd(head *httpwire.ResponseHead) {
	head.Close = w.closes()
	if seconds := int64(w.IdleFor / time.Second); seconds > 0 && !head.Close {
		head.Fields = append(slices.Clip(head.Fields),
			httpwire.Field{Name: "Connection", Value: "keep-alive"}, httpwire.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.FormatInt(seconds, 10)})
	}
}

// closes decides whether the connection is closed after the answer.
func (w *Writer) closes() bool {
	w.Close = w.Close || w.Ending != nil && w.Ending()
	return w.Close
}

func (w *Writer) flush() { w.flushBy(time.Now().Add(Timeout)) }

// flushBy writes what is buffered, until a time at most.
func (w *Writer) flushBy(until time.Time) {
	if w.failure == nil {
		w.failure = w.deliver(w.buffer, until)
	}
	w.begun = true
	w.buffer = w.buffer[:0]
}

// deliver writes data for as long as the caller keeps reading some of it, until a time at most.
func (w *Writer) deliver(data []byte, until time.Time) error {
	for {
		if err := w.Conn.SetWriteDeadline(timeOut(until, time.Now())); err != nil {
			return err
		}
		n, err := w.Conn.Write(data)
		if err == nil {
			return nil
		}
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return err
		}
		data = data[n:]
	}
}

// Complete reports whether the whole answer was written.
func (w *Writer) Complete() bool { return w.ended }

// Reusable reports whether another call may follow on the connection.
func (w *Writer) Reusable() bool { return w.ended && !w.Close }

// timeOut returns when the next write times out.
func timeOut(until, now time.Time) time.Time {
	if next := now.Add(WriteTimeout); next.Before(until) {
		return next
	}
	return until
}
