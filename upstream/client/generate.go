package client

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// GenerateCall is one send of a prompt to an engine.
type GenerateCall struct {
	Address     string
	Incarnation uint64 // the engine process that is meant; another one at the address refuses
	Request     string
	Attempt     uint32
	Priority    int
	Resume      bool // pick up the stream of this attempt; an engine that does not have it refuses
	Offset      int  // answer tokens already received, for a resume
	Remaining   time.Duration
	Silence     time.Duration // the stream is dead after so long without a frame; 0: that of the client's timing
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

// prepare fills what every call has in common.
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
