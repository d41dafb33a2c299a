package order

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/httpwire"
	"celeryport/upstream/wire"
)

// maxAnswer bounds the size of an engine's answer in bytes.
const maxAnswer = 1 << 20

// caller makes the HTTP calls to engines, each on its own connection. It sends each request at most once: an order that
// was repeated would be executed twice, the second time possibly after another issuer has taken over.
type caller struct {
	dial    func(address string) (net.Conn, error)
	key     string
	timeout time.Duration
}

// newCaller returns a caller. A nil dial selects TCP.
func newCaller(key string, timeout time.Duration, dial func(address string) (net.Conn, error)) *caller {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, timeout) }
	}
	return &caller{key: key, timeout: timeout, dial: dial}
}

// read returns an engine's state.
func (c *caller) read(address string) (*wire.EngineState, error) {
	var state wire.EngineState
	if err := c.call(http.MethodGet, address, wire.PathState, nil, &state); err != nil {
		return nil, err
	}
	return &state, nil
}

// order sends one order.
func (c *caller) order(address string, o *wire.Order) (*wire.OrderResponse, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, errors.Wrap(err, "encode an order")
	}
	var response wire.OrderResponse
	if err := c.call(http.MethodPost, address, wire.PathOrder, body, &response); err != nil {
		return nil, err
	}
	return &response, nil
}

// call sends a request on a new connection. A refusal with status 409 has the
// same body as an accepted order.
func (c *caller) call(method, address, path string, body []byte, answer any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.SetBody(body)
	request.SetConnectionClose()
	if err := c.exchange(address, request, response); err != nil {
		return errors.Wrap(err, "call an engine")
	}
	if status := response.StatusCode(); status != http.StatusOK && status != http.StatusConflict {
		return errors.Newf("the engine answered with status %d", status)
	}
	return errors.Wrap(json.Unmarshal(response.Body(), answer), "decode the answer of an engine")
}

func (c *caller) exchange(address string, request *fasthttp.Request, response *fasthttp.Response) error {
	by := time.Now().Add(c.timeout)
	conn, err := c.dial(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // a failure has no consequence
	if err := conn.SetDeadline(by); err != nil {
		return err
	}
	if _, err := request.WriteTo(conn); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	if err := httpwire.SkipInterim(reader, nil); err != nil {
		return err
	}
	return response.ReadLimitBody(reader, maxAnswer)
}
