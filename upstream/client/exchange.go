package client

import (
	"bufio"
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/failover"
	"celeryport/httpwire"
	"celeryport/progress"
	"celeryport/socket"
	"celeryport/verdict"
)

// exchange is one HTTP request and its answer on a dedicated connection.
type exchange struct {
	conn         *progress.Conn
	response     fasthttp.Response
	stopWatching func() bool
}

const (
	maxHeader    = 16 << 10      // bytes of the header of an answer
	maxHeads     = 4 * maxHeader // bytes that precede the end of the header, interim answers included
	maxBodyExtra = 64 << 10      // bytes of chunk heads or trailers that no byte of a body follows
	// partTimeout is the time for which the bytes of a header, a frame or a chunk head may arrive one after the
	// other. A longer pause is silence, which sound upstreams may have anywhere.
	partTimeout = failover.MaxSoundSilence
)

// open dials the address, sends the request and reads the header of the answer.
// A write fails after silence without progress, a read after silence without a header of an
// answer. The end of ctx closes the connection and thereby interrupts any blocked read or write.
func (c *Client) open(ctx context.Context, address string, request *fasthttp.Request, silence time.Duration) (*exchange, *verdict.Error) {
	dialled, err := c.connect(ctx, address)
	if err != nil {
		return nil, verdict.Wrap(errors.Mark(err, connectMark(ctx, err)), verdict.NotRun, verdict.ReasonUpstream, "cannot connect to upstream %s", address)
	}
	conn := socket.NewConn(dialled)
	e := &exchange{conn: progress.NewConn(&stallConn{Conn: conn, limit: silence}, progress.Limit{})}
	e.stopWatching = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		e.close()
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonTimeout, "no time left to send")
	}
	unsent := e.send(request)
	if errors.Is(unsent, os.ErrDeadlineExceeded) && !conn.Readable() {
		e.close()
		return nil, brokenSend(unsent, address)
	}
	// An upstream may answer or refuse a request before it has read the whole, and then end the connection or read nothing more.
	if err := e.receiveHeader(silence); err != nil {
		e.close()
		if unsent != nil {
			return nil, brokenSend(unsent, address)
		}
		return nil, verdict.Wrap(e.markEnd(err), verdict.MayHaveRun, verdict.ReasonUpstream, "no answer from upstream %s", address)
	}
	return e, nil
}

func brokenSend(err error, address string) *verdict.Error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonUpstream, "connection to upstream %s broke while sending", address)
}

func (e *exchange) send(request *fasthttp.Request) error {
	w := bufio.NewWriter(e.conn)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (e *exchange) receiveHeader(silence time.Duration) error {
	e.conn.Limit(progress.Limit{Idle: silence, Partial: partTimeout, Bytes: maxHeads})
	reader := bufio.NewReaderSize(e.conn, maxHeader)
	if err := httpwire.SkipInterim(reader, e.conn.Resume); err != nil {
		return err
	}
	e.response.StreamBody = true
	if err := e.response.Read(reader); err != nil {
		return err
	}
	e.conn.Limit(progress.Limit{Idle: silence, Partial: partTimeout, Bytes: maxBodyExtra})
	return nil
}

// markEnd marks the error of a read with the limit that it has reached.
func (e *exchange) markEnd(err error) error {
	err = e.conn.Mark(err)
	if errors.IsAny(err, progress.ErrTooMuch, bufio.ErrTooLong) || httpwire.StatusOf(err) != 0 {
		return errors.Mark(err, errViolation)
	}
	return err
}

// readBody reads the body of the answer and fails with ErrTooLarge beyond limit bytes.
func (e *exchange) readBody(limit int) ([]byte, error) {
	stream := e.response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	content, err := io.ReadAll(io.LimitReader(&bodyReader{stream: stream, conn: e.conn}, int64(limit)+1))
	if err != nil {
		return nil, e.markEnd(err)
	}
	if len(content) > limit {
		return nil, ErrTooLarge
	}
	return content, nil
}

// bodyReader counts each piece of a body as progress of its connection.
type bodyReader struct {
	stream io.Reader
	conn   *progress.Conn
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	if n > 0 {
		r.conn.Advance()
	}
	return n, err
}

// close closes the connection, by which the upstream detects the end of the exchange.
func (e *exchange) close() {
	e.stopWatching()
	_ = e.conn.Close()
}
