package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/httpwire"
	"celeryport/verdict"
)

// watch detects that a caller leaves while its call is in flight. Otherwise engines would
// continue to work on the abandoned call until its deadline.
type watch struct {
	conn  net.Conn
	ended chan error
}

// watch reads ahead on the connection until stop is called; gone is called when the caller
// closes the connection, or only its sending half, which can't be told apart.
func (c *callerConn) watch(gone context.CancelFunc) *watch {
	w := &watch{conn: c.conn, ended: make(chan error, 1)}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		gone()
		w.ended <- err
		return w
	}
	go func() {
		err := c.awaitEnd()
		if err != nil {
			gone()
		}
		w.ended <- err
	}()
	return w
}

// awaitEnd reads ahead until the caller's connection ends, and returns the error with which it did. It returns nil if it
// is interrupted, and for a caller that sends further calls and then closes its sending half, or sends more than fit the
// buffer: that one waits for the answers.
func (c *callerConn) awaitEnd() error {
	for {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		waits := c.reader.Buffered() > 0
		switch {
		case err == nil:
		case passedDeadline(err), errors.Is(err, bufio.ErrBufferFull), errors.Is(err, io.EOF) && waits:
			return nil
		default:
			return err
		}
	}
}

// aLongTimeAgo as the deadline makes a pending read return at once.
var aLongTimeAgo = time.Unix(1, 0)

// stop ends the watch and reports whether the caller is still connected.
func (w *watch) stop() bool {
	if err := w.conn.SetReadDeadline(aLongTimeAgo); err != nil {
		return false
	}
	return <-w.ended == nil
}

// passedDeadline reports whether an operation ended at its deadline. The time-out of a connection that the kernel has
// given up is another error.
func passedDeadline(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// refuseHalfClosed answers the call of a caller that seems to have left: one that only closed its sending
// half still waits for an answer, and the two can't be told apart without sending something. It returns the status of
// the answer for the log.
func (x *exchange) refuseHalfClosed() event.Fields {
	if x.writer.Begun() || x.transit != nil {
		return nil
	}
	status := verdict.ReasonCallerLeft.Status()
	if x.mayHaveRun() {
		status = http.StatusBadGateway
	}
	fields := append(x.server.options.Dialect.RefusalFields(x.call, 0), textFields...)
	x.writer.Whole(&httpwire.ResponseHead{Status: status, Fields: fields}, []byte("the caller closed its sending half\n"))
	return event.Fields{"status": status}
}
