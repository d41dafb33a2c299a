package client

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// maxFrame bounds one frame in bytes; a longer one breaks the protocol.
const maxFrame = 1 << 20

// Stream is the answer to one GenerateCall.
type Stream struct {
	exchange *exchange
	lines    *bufio.Scanner
	receiver *Receiver
	address  string
}

// Generate sends the call and returns its answer stream. The receiver must have
// been prepared by Expect.
func (c *Client) Generate(ctx context.Context, call *GenerateCall, receiver *Receiver) (*Stream, *verdict.Error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	if err := c.prepareGenerate(request, call); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "cannot encode the request")
	}
	e, failed := c.open(ctx, call.Address, request, cmp.Or(call.Silence, c.timing.Silence))
	if failed != nil {
		return nil, failed
	}
	if status := e.response.StatusCode(); status != http.StatusOK {
		defer e.close()
		return nil, refusal(e, call.Address)
	}
	lines := bufio.NewScanner(e.response.BodyStream())
	lines.Buffer(nil, maxFrame)
	return &Stream{exchange: e, lines: lines, receiver: receiver, address: call.Address}, nil
}

// refusal reads why an upstream did not start a call. Only the upstream's own
// mark proves that it was not run.
func refusal(e *exchange, address string) *verdict.Error {
	v := verdict.MayHaveRun
	if len(e.response.Header.Peek(wire.HeaderRefused)) > 0 {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.ReasonUpstream, "upstream %s answered with status %d", address, e.response.StatusCode())
}

// Next returns the next new text. It returns io.EOF once the answer is whole and
// checked; every other end is a verdict.Error.
func (s *Stream) Next() (string, error) {
	if s.receiver.Complete() {
		return "", io.EOF
	}
	if !s.lines.Scan() {
		return "", s.broken()
	}
	var frame wire.Frame
	if err := json.Unmarshal(s.lines.Bytes(), &frame); err != nil {
		return "", s.violation(err)
	}
	if frame.Error != "" {
		return "", s.gaveUp(&frame)
	}
	text, err := s.receiver.Accept(&frame)
	if err != nil {
		return "", s.violation(err)
	}
	return text, nil
}

func (s *Stream) broken() error {
	cause := s.lines.Err()
	if cause == nil {
		cause = ErrIncomplete
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.ReasonUpstream, "answer of upstream %s broke off", s.address)
}

// errViolation marks that an upstream broke the protocol.
var errViolation = errors.New("protocol violation")

// IsViolation reports whether a stream ended because the upstream broke the
// protocol, so that picking it up again would only repeat that.
func IsViolation(err error) bool { return errors.Is(err, errViolation) }

func (s *Stream) violation(cause error) error {
	return verdict.Wrap(errors.Mark(cause, errViolation), verdict.MayHaveRun, verdict.ReasonUpstream, "upstream %s broke the protocol", s.address)
}

func (s *Stream) gaveUp(frame *wire.Frame) error {
	v := verdict.MayHaveRun
	if frame.Refused && s.receiver.Offset() == 0 {
		v = verdict.NotRun
	}
	return verdict.Wrap(errors.Newf("%s", frame.Error), v, verdict.ReasonUpstream, "upstream %s gave up", s.address)
}

// Close ends the stream. The upstream's work must be cancelled apart if the
// answer is not complete.
func (s *Stream) Close() { s.exchange.close() }
