package control

import (
	"context"
	"time"

	"celeryport/control/state"
	"celeryport/order"
	"celeryport/settings"
	"celeryport/upstream"
)

// maintainIssuer makes this leader the issuer of engine orders, once in each of its terms,
// and publishes how long it may issue them. Every leader becomes the issuer by an entry in
// the log, so the fencing number grows with each.
func (l *leader) maintainIssuer(now time.Time) {
	g := l.core.group
	issuer := g.machine.Issuer()
	mine := issuer.Holder == l.core.self.Name && issuer.Incarnation == l.core.self.Incarnation &&
		issuer.Fence.Term == l.term
	if !mine {
		l.proposeIssuer(now)
		return
	}
	if l.issuerAt.IsZero() {
		l.issuerAt = now
	}
	l.core.node.issuer.Store(&order.Issuer{
		Fence: issuer.Fence,
		Since: l.issuerAt,
		Until: g.node.Status().LeaseUntil,
	})
}

func (l *leader) proposeIssuer(now time.Time) {
	if l.issuerProposed {
		return
	}
	l.issuerProposed = true
	command := state.Command{
		At:     now.Round(0).UTC(),
		Issuer: &state.AssignIssuer{Holder: l.core.self.Name, Incarnation: l.core.self.Incarnation},
	}
	// The result appears in the state; a proposal that is lost together with the
	// leadership need not be repeated.
	l.core.group.propose(now, &command, make(chan proposalResult, 1))
}

// orderSource gives the driver of orders access to the node.
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

// DesiredState implements order.Source.
func (s orderSource) DesiredState() *settings.Tree { return s.node.View().Tree }

// Upstreams implements order.Source.
func (s orderSource) Upstreams() *upstream.Snapshot { return s.node.View().Upstreams }

func (n *Node) newOrders() *order.Driver {
	return order.NewDriver(orderSource{n}, order.Options{
		Log:   n.log,
		Clock: n.clock,
		Key:   n.opts.Process.EngineKey,
	})
}

// OrdersStatus is the response to CommandOrders.
type OrdersStatus struct {
	Issuer  state.Issuer   `json:"issuer"`
	Records []order.Record `json:"records"` // orders of this issuer, oldest first
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
