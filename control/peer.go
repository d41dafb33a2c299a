package control

import (
	"context"
	"time"

	"celeryport/consensus"
	"celeryport/rpc"
)

// peerQueue limits the messages queued for one peer. Consensus resends lost messages, so
// new ones are dropped when the queue is full.
const peerQueue = 256

// peer sends consensus messages to one other member. Messages queued during a call are
// sent in the next one.
type peer struct {
	address string
	own     string // address of this instance, to which the peer responds
	clients *rpc.Clients
	timeout time.Duration
	queue   chan []byte
	cancel  context.CancelFunc
}

func newPeer(address, own string, clients *rpc.Clients, timeout time.Duration) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{
		address: address,
		own:     own,
		clients: clients,
		timeout: timeout,
		queue:   make(chan []byte, peerQueue),
		cancel:  cancel,
	}
	go p.run(ctx)
	return p
}

// send queues a message without blocking.
func (p *peer) send(message []byte) {
	select {
	case p.queue <- message:
	default:
	}
}

func (p *peer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-p.queue:
			p.call(ctx, p.gather(first))
		}
	}
}

func (p *peer) gather(first []byte) [][]byte {
	messages := [][]byte{first}
	for range len(p.queue) {
		messages = append(messages, <-p.queue)
	}
	return messages
}

// call sends messages. They are lost if it fails, which the protocol tolerates.
func (p *peer) call(ctx context.Context, messages [][]byte) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	_, _ = p.clients.At(p.address).Consensus(ctx, &rpc.ConsensusRequest{Messages: messages, Address: p.own})
}

func (p *peer) close() { p.cancel() }

// dropPeers closes the senders to instances that are no longer members.
func (g *group) dropPeers(c *consensus.Configuration) {
	for id, p := range g.peers {
		if !c.Voter(id) && !c.Learner(id) {
			p.close()
			delete(g.peers, id)
			delete(g.senders, id)
		}
	}
}

// sendAll queues the messages for the peers. The state that the messages depend on must
// have been synced before.
func (g *group) sendAll(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	addresses := map[consensus.ID]string{}
	configuration := g.node.Status().Configuration
	for _, m := range configuration.Members() {
		addresses[m.ID] = m.Address
	}
	for i := range messages {
		g.send(addresses, &messages[i])
	}
}

func (g *group) send(addresses map[consensus.ID]string, m *consensus.Message) {
	p := g.peerFor(m.To, addresses[m.To])
	if p == nil {
		return
	}
	data, err := consensus.EncodeMessage(m)
	if err != nil {
		return // cannot fail for plain data
	}
	p.send(data)
}

// peerFor returns the sender to a member. A member that the configuration does not name,
// for instance the leader as seen by a new learner, is reached at the address stated in
// its messages.
func (g *group) peerFor(id consensus.ID, address string) *peer {
	if address == "" {
		address = g.senders[id]
	}
	known, found := g.peers[id]
	if found && (address == "" || known.address == address) {
		return known
	}
	if found {
		known.close()
	}
	if address == "" {
		return nil
	}
	p := newPeer(address, g.core.self.ControlAddress, g.core.node.clients, g.core.timing.Consensus.ElectionMin)
	g.peers[id] = p
	return p
}
