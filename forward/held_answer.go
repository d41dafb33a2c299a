package forward

import (
	"context"
	"time"

	"celeryport/bytebudget"
	"celeryport/httpwire"
)

// heldAnswer is an answer that was read as a whole and has not been written to the caller.
type heldAnswer struct {
	head   *httpwire.ResponseHead
	pieces [][]byte
	held   *bytebudget.Claim // memory of the pieces
}

// readWhole reads an answer as a whole. It waits for memory until the deadline of the call.
func (s *sending) readWhole(ctx context.Context, head *httpwire.ResponseHead) (*heldAnswer, error) {
	held := s.x.server.answerClaim(head)
	ctx, cancel := context.WithDeadline(ctx, s.x.deadline)
	defer cancel()
	pieces, err := s.wholeBody(head).ReadPieces(maxWholeAnswerBytes, s.x.awaitRoom(ctx, held))
	if err == nil {
		err = s.verifyEnd(ctx, head)
	}
	if err != nil {
		held.Release()
		return nil, err
	}
	return &heldAnswer{
		head:   &httpwire.ResponseHead{Status: head.Status, Reason: head.Reason, Fields: head.Fields.EndToEnd()},
		pieces: pieces, held: held,
	}, nil
}

// deliverWhole writes the answer of a send that has ended, if it has not been written: a caller may take longer to read
// it than the upstream took to give it.
func (x *exchange) deliverWhole(result *outcome) {
	answer := result.whole
	if answer == nil {
		return
	}
	defer answer.held.Release()
	x.endSends()
	x.firstAt = time.Now()
	x.writer.Pieces(answer.head, answer.pieces, answer.held.Return)
}

// endSends drops the body of a call that is not sent again. Its caller may take long to read the answer.
func (x *exchange) endSends() {
	x.body = nil
	if x.dropBody != nil {
		x.dropBody()
	}
}
