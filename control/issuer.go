package control

import (
	"context"
	"time"

	"celeryport/control/state"
	"celeryport/order"
	"celeryport/settings"
	"celeryport/upstream"
)

// keepIssuer makes this leader the issuer of engine orders, once in each of its
// terms, and publishes how long it may issue. Every leader passes through the
// log to become the issuer, so the fencing number grows with each.
func (l *leader) keepIssuer(now time.Time) {
	g := l.core.group
	issuer := g.machine.Issuer()
	mine := issuer.Holder == l.core.self.Name && issuer.Incarnation == l.core.self.Incarnation &&
		issuer.Fence.Term == l.term
	if !mine {
		l.takeIssuer(now)
		return
	}
	if l.issuerAt.IsZero() {
		l.issuerAt = now
	}
	l.core.node.issuer.Store(&order.Issuer{
		Fence:   issuer.Fence,
		TakenAt: l.issuerAt,
		Until:   g.node.Status().LeaseUntil,
	})
}

func (l *leader) takeIssuer(now time.Time) {
	if l.issuerAsked {
		return
	}
	l.issuerAsked = true
	command := state.Command{
		At:     now.Round(0).UTC(),
		Issuer: &state.AssignIssuer{Holder: l.core.self.Name, Incarnation: l.core.self.Incarnation},
	}
	// The result shows in the state; a proposal that is lost with the leadership
	// needs no second one.
	l.core.group.propose(now, &command, make(chan proposalResult, 1))
}

// orderSource lets the driver of orders read the node.
type orderSource struct {
	node *Node
}

// Issuer implements order.Source.
func (s orderSource) Issuer() order.Issuer {
	if issuer := s.node.issuer.Load(); issuer != nil {
		return *issuer
	}
	return order.Issuer{}
}

// Wishes implements order.Source.
func (s orderSource) Wishes() *settings.Tree { return s.node.View().Tree }

// Upstreams implements order.Source.
func (s orderSource) Upstreams() *upstream.Snapshot { return s.node.View().Upstreams }

func (n *Node) newOrders() *order.Driver {
	return order.NewDriver(orderSource{n}, order.Options{
		Log:   n.log,
		Clock: n.clock,
		Key:   n.opts.Process.EngineKey,
	})
}

// OrdersStatus answers CommandOrders.
type OrdersStatus struct {
	Issuer  state.Issuer   `json:"issuer"`
	Records []order.Record `json:"records"` // by this issuer, oldest first
}

// listOrders is the handler of CommandOrders.
func (n *Node) listOrders(ctx context.Context, _ []byte) ([]byte, error) {
	var status OrdersStatus
	err := n.asLeader(ctx, func(_ time.Time, l *leader) { status.Issuer = l.core.group.machine.Issuer() })
	if err != nil {
		return nil, err
	}
	status.Records = n.orders.Records()
	return encode(status)
}
