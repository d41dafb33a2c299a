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

// readWhole reads an answer as a whole. It waits for memory until ctx ends.
func (x *exchange) readWhole(ctx context.Context, head *httpwire.ResponseHead, body *httpwire.Body) (*heldAnswer, error) {
	held := x.server.answerClaim(head)
	pieces, err := body.ReadPieces(maxWholeAnswerBytes, x.awaitRoom(ctx, held))
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
