package client

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Address     string
	Incarnation uint64 // expected incarnation of the service; a different one at the address refuses the call
	Request     string
	Attempt     uint32
	Method      string
	Path        string // including the query
	ContentType string
	Body        []byte
	Remaining   time.Duration
	Key         string
	MaxAnswer   int // maximum size of the answer body in bytes
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service sends the call and reads the complete answer. The only limit on the time
// without received data is the remaining time of the call, because a plain service
// sends no heartbeats. The bytes of a header or chunk head may arrive for partTimeout.
// An answer with neither a length nor chunks is an error, ErrUnframed.
func (c *Client) Service(ctx context.Context, call *ServiceCall) (*ServiceAnswer, *verdict.Error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.prepareService(request, call)
	e, failed := c.open(ctx, call.Address, request, call.Remaining)
	if failed != nil {
		return nil, failed
	}
	defer e.close()
	if len(e.response.Header.Peek(wire.HeaderRefused)) > 0 {
		return nil, refusal(e, call.Address)
	}
	if id := string(e.response.Header.Peek(wire.HeaderRequestID)); id != "" && id != call.Request {
		return nil, verdict.Wrap(ErrForeignFrame, verdict.MayHaveRun, verdict.ReasonUpstream,
			"upstream %s answered request %s", call.Address, id)
	}
	if e.endsWithConnection() {
		return nil, verdict.Wrap(ErrUnframed, verdict.MayHaveRun, verdict.ReasonUpstream, "cannot tell the end of the answer of upstream %s", call.Address)
	}
	body, err := e.readBody(call.MaxAnswer)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonUpstream, "answer of upstream %s broke off", call.Address)
	}
	return &ServiceAnswer{
		Status:      e.response.StatusCode(),
		ContentType: string(e.response.Header.ContentType()),
		Body:        body,
	}, nil
}

// ErrUnframed means that an answer has neither a length nor chunks. It may have been broken off: the kernel closes the
// connections of a crashed process like one that the process closes itself.
var ErrUnframed = errors.New("answer without a length or chunks")

// endsWithConnection reports whether the body of the answer ends with its connection.
func (e *exchange) endsWithConnection() bool {
	const identity = -2 // what fasthttp reports for it
	return e.response.Header.ContentLength() == identity && e.response.BodyStream() != nil
}

func (c *Client) prepareService(request *fasthttp.Request, call *ServiceCall) {
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	c.prepare(request, method, call.Address, call.Path)
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.SetBodyRaw(call.Body)
	request.Header.Set(wire.HeaderRequestID, call.Request)
	request.Header.Set(wire.HeaderAttempt, strconv.FormatUint(uint64(call.Attempt), 10))
	request.Header.Set(wire.HeaderIncarnation, strconv.FormatUint(call.Incarnation, 10))
	c.setTiming(request, call.Remaining, call.Key)
}
