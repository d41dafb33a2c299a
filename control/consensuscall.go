package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"celeryport/consensus"
	"celeryport/rpc"
)

// Consensus implements rpc.Control. The response only confirms that the messages were
// queued: consensus responds with messages of its own.
func (s *service) Consensus(_ context.Context, in *rpc.ConsensusRequest) (*rpc.ConsensusResponse, error) {
	messages := make([]consensus.Message, 0, len(in.Messages))
	for _, data := range in.Messages {
		m, err := consensus.DecodeMessage(data)
		if err != nil {
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		messages = append(messages, m)
	}
	s.node.postMessages(func(now time.Time) { s.node.core.receive(now, in.Address, messages) })
	return &rpc.ConsensusResponse{}, nil
}

// receive passes messages to consensus if this instance takes part in it.
func (c *core) receive(now time.Time, address string, messages []consensus.Message) {
	if c.group != nil && c.group.awaitsFounding() && len(c.group.founders) > 0 {
		c.group.joinFounded(now, address)
	}
	if c.group == nil || c.group.node == nil {
		return
	}
	for i := range messages {
		c.group.senders[messages[i].From] = address
		if err := c.group.node.Step(now, messages[i]); err != nil {
			c.group.fail(now, err)
			return
		}
	}
}
