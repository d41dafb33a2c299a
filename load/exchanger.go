package load

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

const (
	connectTimeout = 2 * time.Second
	askTimeout     = 2 * time.Second
	bufferBytes    = 16 << 10
	maxAnswer      = 64 << 20
	bearer         = "Bearer "
)

// ErrNotSent marks a failure before any byte left, which is the only kind of
// failure without an answer after which a caller may send again.
var ErrNotSent = errors.New("not sent")

// ErrSilent marks an answer that did not come or end in time.
var ErrSilent = errors.New("no final answer in time")

// exchanger makes HTTP exchanges, each on a connection of its own: nothing in it
// repeats a request, and a refused connection is told apart from a broken one.
type exchanger struct {
	dial Dialer
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// exchange is one request and its answer.
type exchange struct {
	conn     net.Conn
	response fasthttp.Response
}

// open sends the request and reads the header of its answer. The whole exchange
// has to end by the time given.
func (x *exchanger) open(ctx context.Context, address string, request *fasthttp.Request, by time.Time) (*exchange, error) {
	limited, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := x.dial(limited, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	e := &exchange{conn: conn}
	if err := conn.SetDeadline(by); err != nil {
		e.close()
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	request.SetConnectionClose()
	sent := e.send(request)
	e.response.StreamBody = true
	// An instance may refuse before it has read the whole body and close; its
	// answer is there although sending failed.
	if err := e.response.Read(bufio.NewReaderSize(conn, bufferBytes)); err != nil {
		e.close()
		return nil, classify(errors.CombineErrors(sent, err))
	}
	return e, nil
}

func (e *exchange) send(request *fasthttp.Request) error {
	w := bufio.NewWriterSize(e.conn, bufferBytes)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// classify marks the error of a connection that ran out of time.
func classify(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Mark(err, ErrSilent)
	}
	return err
}

// body reads the whole answer.
func (e *exchange) body() ([]byte, error) {
	stream := e.response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	content, err := io.ReadAll(io.LimitReader(stream, maxAnswer))
	return content, classify(err)
}

func (e *exchange) close() { _ = e.conn.Close() }

// get makes a small call without effects.
func (x *exchanger) get(ctx context.Context, address, path, key string) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	if key != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, bearer+key)
	}
	e, err := x.open(ctx, address, request, time.Now().Add(askTimeout))
	if err != nil {
		return nil, err
	}
	defer e.close()
	if status := e.response.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Newf("%s answered %s with status %d", address, path, status)
	}
	return e.body()
}
