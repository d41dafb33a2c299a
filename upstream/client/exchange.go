package client

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/verdict"
)

// exchange is one HTTP request and its answer on a connection of its own.
type exchange struct {
	conn     net.Conn
	response fasthttp.Response
	unwatch  func() bool
}

// maxHeader bounds the header of an upstream's answer, in bytes.
const maxHeader = 16 << 10

// open dials, sends the request and reads the header of the answer. silence
// bounds each wait for bytes. The connection closes when ctx ends, whatever it
// waits for.
func (c *Client) open(ctx context.Context, address string, request *fasthttp.Request, silence time.Duration) (*exchange, *verdict.Error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonUpstream, "cannot connect to upstream %s", address)
	}
	e := &exchange{conn: &silenceConn{Conn: conn, limit: silence}}
	e.unwatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		e.close()
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonTimeout, "no time left to send")
	}
	if err := e.send(request); err != nil {
		e.close()
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonUpstream, "connection to upstream %s broke while sending", address)
	}
	if err := e.receiveHeader(); err != nil {
		e.close()
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonUpstream, "no answer from upstream %s", address)
	}
	return e, nil
}

func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, c.timing.Connect)
	defer cancel()
	return c.dial(bounded, address)
}

func (e *exchange) send(request *fasthttp.Request) error {
	w := bufio.NewWriter(e.conn)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (e *exchange) receiveHeader() error {
	e.response.StreamBody = true
	return e.response.Read(bufio.NewReaderSize(e.conn, maxHeader))
}

// close ends the exchange; the upstream notices by the closed connection.
func (e *exchange) close() {
	e.unwatch()
	_ = e.conn.Close()
}
