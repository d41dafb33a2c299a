package client

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/progress"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// maxFrame limits the size of one frame in bytes. A longer frame is a protocol violation.
const maxFrame = 1 << 20

// maxTextless limits the bytes of heartbeats and other frames without a token between two tokens, and of a
// frame with tokens.
const maxTextless = 4 << 20

// Stream is the answer stream of one GenerateCall.
type Stream struct {
	exchange *exchange
	lines    *bufio.Scanner
	unended  bool // the line was ended by the end, or a failure, of the connection
	receiver *Receiver
	address  string

	maxTokens int // of the answer; 0: not stated
}

// Generate sends the call and returns its answer stream. The caller must have
// prepared the receiver with Expect.
func (c *Client) Generate(ctx context.Context, call *GenerateCall, receiver *Receiver) (*Stream, *verdict.Error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	if err := c.prepareGenerate(request, call); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "cannot encode the request")
	}
	silence := cmp.Or(call.Silence, c.timing.Silence)
	e, failed := c.open(ctx, call.Address, request, silence)
	if failed != nil {
		return nil, failed
	}
	if status := e.response.StatusCode(); status != http.StatusOK {
		defer e.close()
		return nil, refusal(e, call.Address)
	}
	e.conn.Limit(progress.Limit{Idle: silence, Partial: partTimeout, Bytes: maxTextless})
	s := &Stream{exchange: e, receiver: receiver, address: call.Address, maxTokens: call.Body.MaxTokens}
	s.lines = bufio.NewScanner(e.response.BodyStream())
	s.lines.Buffer(nil, maxFrame)
	s.lines.Split(s.split)
	return s, nil
}

// split is a bufio.SplitFunc for lines that also records whether the last one was ended by the end of the connection.
func (s *Stream) split(data []byte, ended bool) (int, []byte, error) {
	advance, line, err := bufio.ScanLines(data, ended)
	s.unended = ended && len(line) > 0 && !bytes.HasSuffix(data[:advance], []byte("\n"))
	return advance, line, err
}

// refusal returns the error for a call that an upstream did not accept. Only the
// refusal header proves that the upstream did not run it.
func refusal(e *exchange, address string) *verdict.Error {
	v := verdict.MayHaveRun
	var cause error
	switch reason := e.response.Header.Peek(wire.HeaderRefused); string(reason) {
	case "":
	case wire.RefusedIncarnation:
		v, cause = verdict.NotRun, errReplaced
	default:
		v = verdict.NotRun
	}
	return verdict.Wrap(cause, v, verdict.ReasonUpstream, "upstream %s answered with status %d", address, e.response.StatusCode())
}

// Next returns the next part of the text that the caller has not received yet. It
// returns io.EOF once the answer is complete and verified; every other error is a
// verdict.Error.
func (s *Stream) Next() (string, error) {
	if s.receiver.Complete() {
		return "", io.EOF
	}
	s.exchange.conn.Resume() // a caller that is slow to ask is no silence
	if !s.lines.Scan() {
		return "", s.interrupted()
	}
	var frame wire.Frame
	if err := json.Unmarshal(s.lines.Bytes(), &frame); err != nil {
		if s.unended {
			return "", s.interrupted()
		}
		return "", s.violation(err)
	}
	if frame.Error != "" {
		return "", s.engineError(&frame)
	}
	text, err := s.receiver.Accept(&frame)
	if err == nil && s.receiver.exceeds(s.maxTokens) {
		text, err = "", ErrTooLarge
	}
	if err != nil {
		return "", s.violation(err)
	}
	if frame.Tokens > 0 {
		s.exchange.conn.Advance()
	}
	return text, nil
}

func (s *Stream) interrupted() error {
	cause := s.lines.Err()
	if cause == nil {
		cause = ErrIncomplete
	}
	return verdict.Wrap(s.exchange.markEnd(cause), verdict.MayHaveRun, verdict.ReasonUpstream, "answer of upstream %s broke off", s.address)
}

// errViolation marks the errors that are protocol violations.
var errViolation = errors.New("protocol violation")

// IsViolation reports whether a stream ended because the upstream violated the
// protocol. Resuming such a stream would only repeat the violation.
func IsViolation(err error) bool { return errors.Is(err, errViolation) }

// IsIncomplete reports whether a call ended because the upstream had begun a header or a frame that it did not
// complete in time.
func IsIncomplete(err error) bool { return errors.Is(err, progress.ErrIncomplete) }

func (s *Stream) violation(cause error) error {
	return verdict.Wrap(errors.Mark(cause, errViolation), verdict.MayHaveRun, verdict.ReasonUpstream, "upstream %s broke the protocol", s.address)
}

func (s *Stream) engineError(frame *wire.Frame) error {
	v := verdict.MayHaveRun
	if frame.Refused && s.receiver.Offset() == 0 {
		v = verdict.NotRun
	}
	return verdict.Wrap(errors.Newf("%s", frame.Error), v, verdict.ReasonUpstream, "upstream %s gave up", s.address)
}

// Close closes the stream. If the answer is not complete, the caller must also
// cancel the request on the upstream.
func (s *Stream) Close() { s.exchange.close() }
