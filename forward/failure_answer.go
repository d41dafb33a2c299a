package forward

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"celeryport/bytebudget"
	"celeryport/httpwire"
)

const (
	// maxRejectionBytes bounds the body of a rejection, which is read only so that its connection can carry another
	// call.
	maxRejectionBytes = 64 << 10
	// maxKeptFailureBytes bounds the body of a failure answer that is kept while its call is sent again.
	maxKeptFailureBytes = 16 << 10
)

// failureAnswer is a failure answer of an upstream. It is forwarded to the caller if no other send
// succeeds.
type failureAnswer struct {
	status int
	reason string
	fields httpwire.Fields
	pieces [][]byte
}

func (f *failureAnswer) size() int {
	size := 0
	for _, piece := range f.pieces {
		size += len(piece)
	}
	return size
}

// errLongRejection means that the body of a rejection was not read to its end.
var errLongRejection = errors.New("the body of a rejection is larger than the limit")

// readFailed reads the body of an answer that is no success. It returns nil for a rejection, whose body is not used.
func (s *sending) readFailed(ctx context.Context, head *httpwire.ResponseHead, answer Answer) (*failureAnswer, error) {
	body := s.wholeBody(head)
	if answer.NotRun || answer.WrongIncarnation {
		return nil, discardRejection(body)
	}
	return s.x.readFailure(ctx, head, body)
}

// discardRejection reads the body of a rejection.
func discardRejection(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, maxRejectionBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case n > maxRejectionBytes:
		return errLongRejection
	default:
		return err
	}
}

// readFailure reads the body of an upstream's own failure answer. The call holds its memory until it ends or is sent
// again.
func (x *exchange) readFailure(ctx context.Context, head *httpwire.ResponseHead, body *httpwire.Body) (*failureAnswer, error) {
	held := x.server.answerClaim(head)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	pieces, err := body.ReadPieces(maxWholeAnswerBytes, x.awaitRoom(ctx, held))
	x.keepFailure(held)
	if err != nil {
		x.keepFailure(nil)
		return nil, err
	}
	return &failureAnswer{status: head.Status, reason: head.Reason, fields: head.Fields.EndToEnd(), pieces: pieces}, nil
}

// returnFailure gives back n bytes of the failure answer that have been written to the caller.
func (x *exchange) returnFailure(n int64) {
	if x.failureHeld != nil {
		x.failureHeld.Return(n)
	}
}

// keepFailure replaces the memory that the call holds for a failure answer; nil: none.
func (x *exchange) keepFailure(held *bytebudget.Claim) {
	if x.failureHeld != nil {
		x.failureHeld.Release()
	}
	x.failureHeld = held
}

// beforeRepeat gives back the memory of a failure answer before the call is sent again, since the next answer may have
// to wait for memory. Only a short failure answer is kept beyond that.
func (x *exchange) beforeRepeat(last *outcome) {
	if last != nil && last.ownFailure != nil && last.ownFailure.size() > maxKeptFailureBytes {
		last.ownFailure = nil
	}
	x.keepFailure(nil)
}
