package load

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/httpwire"
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

const (
	connectTimeout = 2 * time.Second
	getTimeout     = 2 * time.Second
	bufferBytes    = 16 << 10
	maxAnswer      = 64 << 20
	bearer         = "Bearer "
)

// ErrNotSent marks a failure before any byte was sent. It is the only failure
// without an answer after which a caller may safely retry.
var ErrNotSent = errors.New("not sent")

// ErrTimeout marks an answer that did not start or did not end in time.
var ErrTimeout = errors.New("no final answer in time")

// httpClient makes HTTP exchanges, each on its own connection. Unlike the usual
// clients it never repeats a request, and it distinguishes a refused connection from
// one that broke.
type httpClient struct {
	dial Dialer
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// exchange is one HTTP request and its response.
type exchange struct {
	conn     net.Conn
	by       time.Time // when it has to end
	response fasthttp.Response
}

// open sends the request and reads the header of the response. The whole exchange
// has to end by the given time.
func (x *httpClient) open(ctx context.Context, address string, request *fasthttp.Request, by time.Time) (*exchange, error) {
	limited, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := x.dial(limited, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	e := &exchange{conn: conn, by: by}
	if err := conn.SetDeadline(by); err != nil {
		e.close()
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	request.SetConnectionClose()
	sent := e.send(request)
	e.response.StreamBody = true
	// An instance may refuse a request and close the connection before it has read
	// the whole body, so there can be a response although sending failed.
	if err := e.receiveHeader(); err != nil {
		e.close()
		return nil, e.classify(errors.CombineErrors(sent, err))
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

func (e *exchange) receiveHeader() error {
	reader := bufio.NewReaderSize(e.conn, bufferBytes)
	if err := httpwire.SkipInterim(reader, nil); err != nil {
		return err
	}
	return e.response.Read(reader)
}

// classify marks the error of an exchange that has not ended in time as ErrTimeout. The kernel may give a connection up
// earlier, which is a time-out too.
func (e *exchange) classify(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() && !time.Now().Before(e.by) {
		return errors.Mark(err, ErrTimeout)
	}
	return err
}

// body reads the whole response body.
func (e *exchange) body() ([]byte, error) {
	stream := e.response.BodyStream()
	if stream == nil {
		return nil, nil
	}
	content, err := io.ReadAll(io.LimitReader(stream, maxAnswer))
	return content, e.classify(err)
}

func (e *exchange) close() { _ = e.conn.Close() }

// get makes a GET request and returns the body of a successful response.
func (x *httpClient) get(ctx context.Context, address, path, key string) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	if key != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, bearer+key)
	}
	e, err := x.open(ctx, address, request, time.Now().Add(getTimeout))
	if err != nil {
		return nil, err
	}
	defer e.close()
	if status := e.response.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Newf("%s answered %s with status %d", address, path, status)
	}
	return e.body()
}
