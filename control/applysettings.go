package control

import (
	"context"
	"time"

	"celeryport/control/state"
	"celeryport/verdict"
)

// ApplyRequest is an operator's order to replace the settings tree.
type ApplyRequest struct {
	Base    uint64 `json:"base"` // revision that the operator's change is based on
	OrderID string `json:"order_id"`
	File    string `json:"file"` // name of the text in error messages
	Text    []byte `json:"text"`
}

// maxOrderID limits the memory that each voter needs for an order.
const maxOrderID = 128

// applySettings is the handler of CommandApply; the response is a state.Outcome.
func (n *Node) applySettings(ctx context.Context, body []byte) ([]byte, error) {
	request, err := decode[ApplyRequest](body)
	if err != nil {
		return nil, err
	}
	if err := n.checkApply(request); err != nil {
		return nil, err
	}
	outcome, err := n.propose(ctx, state.Command{Apply: &state.Apply{
		OrderID: request.OrderID,
		Base:    request.Base,
		Text:    request.Text,
	}})
	if err != nil {
		return nil, err
	}
	return encode(outcome)
}

// checkApply rejects a faulty tree before it is appended to the log: a committed tree that
// no instance can install would stop the whole fleet.
func (n *Node) checkApply(request *ApplyRequest) error {
	if request.OrderID == "" || len(request.OrderID) > maxOrderID {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "an order needs an id of 1 to %d bytes", maxOrderID)
	}
	if _, err := n.opts.Parse(request.File, request.Text); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "the settings are faulty")
	}
	return nil
}

// propose sets the time of a command, appends it to the log and waits for its outcome.
func (n *Node) propose(ctx context.Context, command state.Command) (state.Outcome, error) {
	done := make(chan proposalResult, 1)
	err := n.asLeader(ctx, func(now time.Time, l *leader) {
		command.At = now.Round(0).UTC()
		command.Lifetime = l.core.orderLifetime()
		l.core.group.propose(now, &command, done)
	})
	if err != nil {
		return state.Outcome{}, err
	}
	return n.awaitProposal(ctx, done)
}

// awaitProposal waits for the outcome of a proposal.
func (n *Node) awaitProposal(ctx context.Context, done <-chan proposalResult) (state.Outcome, error) {
	select {
	case result := <-done:
		return result.outcome, result.err
	case <-n.stopped:
		return state.Outcome{}, errOutcomeUnknown
	case <-ctx.Done():
		return state.Outcome{}, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonNoQuorum,
			"no majority of the voters confirmed the change in time; send it again with the same order id to learn its outcome")
	}
}

// defaultOrderLifetime applies until the first settings are installed.
const defaultOrderLifetime = 24 * time.Hour

func (c *core) orderLifetime() time.Duration {
	if c.installed.tree == nil || c.installed.tree.Fleet.OrderLifetime == 0 {
		return defaultOrderLifetime
	}
	return c.installed.tree.Fleet.OrderLifetime
}
