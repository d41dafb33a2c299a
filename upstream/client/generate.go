package client

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// GenerateCall is one attempt to run a prompt on an engine, or to resume its answer stream.
type GenerateCall struct {
	Address     string
	Incarnation uint64 // expected incarnation of the engine; a different one at the address refuses the call
	Request     string
	Attempt     uint32
	Priority    int
	Resume      bool // resume the stream of this attempt; an engine without that stream refuses the call
	Offset      int  // number of answer tokens already received, if Resume is set
	Remaining   time.Duration
	Silence     time.Duration // maximum time between frames; 0 selects the limit of the client
	Key         string
	Body        wire.GenerateRequest
}

const contentTypeJSON = "application/json"

func (c *Client) prepareGenerate(request *fasthttp.Request, call *GenerateCall) error {
	body, err := json.Marshal(&call.Body)
	if err != nil {
		return err
	}
	c.prepare(request, fasthttp.MethodPost, call.Address, wire.PathGenerate)
	request.SetBodyRaw(body)
	h := &request.Header
	h.Set(wire.HeaderRequestID, call.Request)
	h.Set(wire.HeaderAttempt, strconv.FormatUint(uint64(call.Attempt), 10))
	h.Set(wire.HeaderPriority, strconv.Itoa(call.Priority))
	if call.Resume {
		h.Set(wire.HeaderOffset, strconv.Itoa(call.Offset))
	}
	h.Set(wire.HeaderIncarnation, strconv.FormatUint(call.Incarnation, 10))
	c.setTiming(request, call.Remaining, call.Key)
	return nil
}

// prepare sets the fields that all calls have in common.
func (c *Client) prepare(request *fasthttp.Request, method, address, path string) {
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType(contentTypeJSON)
	request.Header.Set(wire.HeaderOwner, c.owner())
	request.SetConnectionClose()
	if c.key != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	}
}

func (c *Client) setTiming(request *fasthttp.Request, remaining time.Duration, key string) {
	request.Header.Set(wire.HeaderRemainingMs, strconv.FormatInt(remaining.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(wire.HeaderKey, key)
	}
}
