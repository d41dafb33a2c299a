package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// maxControlAnswer limits the size of the answer to a control call in bytes.
const maxControlAnswer = 8 << 20

// ErrTooLarge means that an upstream's answer exceeds the allowed size.
var ErrTooLarge = errors.New("answer is too large")

// Cancel aborts a request on an engine. It is idempotent; the caller repeats it
// until it succeeds or the engine's incarnation has ended.
func (c *Client) Cancel(ctx context.Context, address string, request wire.CancelRequest) (wire.CancelResponse, error) {
	var response wire.CancelResponse
	err := c.callJSON(ctx, http.MethodPost, address, wire.PathCancel, &request, &response)
	return response, err
}

// Reserve creates, renews or releases the memory reservation of one part of a span.
func (c *Client) Reserve(ctx context.Context, address string, request *wire.ReserveRequest) (wire.ReserveResponse, error) {
	var response wire.ReserveResponse
	err := c.callJSON(ctx, http.MethodPost, address, wire.PathReserve, request, &response)
	return response, err
}

// Holdings returns the requests, reservations and exports that hold memory on an engine.
func (c *Client) Holdings(ctx context.Context, address string) (wire.Holdings, error) {
	var holdings wire.Holdings
	err := c.callJSON(ctx, http.MethodGet, address, wire.PathHoldings, nil, &holdings)
	return holdings, err
}

// callJSON makes one call with a JSON body and answer, limited in time and size. Only idempotent
// operations may use it, because its errors do not state whether the call was executed.
func (c *Client) callJSON(ctx context.Context, method, address, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timing.Control)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.prepare(request, method, address, path)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		request.SetBodyRaw(encoded)
	}
	e, failed := c.open(ctx, address, request, c.timing.Control)
	if failed != nil {
		return failed
	}
	defer e.close()
	if status := e.response.StatusCode(); status != http.StatusOK {
		return errors.Newf("upstream %s answered %s with status %d", address, path, status)
	}
	content, err := e.readBody(maxControlAnswer)
	if err != nil {
		return errors.Wrapf(err, "read the answer of upstream %s", address)
	}
	return errors.Wrapf(json.Unmarshal(content, answer), "decode the answer of upstream %s", address)
}
