package control

import (
	"context"
	"time"

	"celeryport/consensus"
	"celeryport/control/state"
	"celeryport/verdict"
)

// reads are the reads of the accepted state that wait until a majority has
// confirmed that this voter still leads.
//
// A lease is not enough for them: the clock of a suspended instance stands still,
// so that it wakes with a lease that seems valid while another leader has
// accepted changes. A round of messages after the question shows who leads.
type reads struct {
	last    uint64 // context of the newest read
	waiting map[uint64]chan<- struct{}
}

// startRead asks for a confirmation; confirmed is closed when it came.
func (g *group) startRead(now time.Time, confirmed chan<- struct{}) error {
	g.reads.last++
	if err := g.node.ReadIndex(now, g.reads.last); err != nil {
		return err
	}
	if g.reads.waiting == nil {
		g.reads.waiting = map[uint64]chan<- struct{}{}
	}
	g.reads.waiting[g.reads.last] = confirmed
	return nil
}

// confirmed ends the reads whose round a majority answered. All entries up to
// their index are applied: a batch hands out committed entries before the reads
// that depend on them.
func (r *reads) confirmed(states []consensus.ReadState) {
	for _, s := range states {
		if waiting, found := r.waiting[s.Context]; found {
			delete(r.waiting, s.Context)
			close(waiting)
		}
	}
}

// forget drops a read that nobody waits for any more.
func (r *reads) forget(confirmed chan<- struct{}) {
	for context, waiting := range r.waiting {
		if waiting == confirmed {
			delete(r.waiting, context)
		}
	}
}

// errUnconfirmed ends a read that no majority confirmed in time.
var errUnconfirmed = verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no majority of the voters confirmed the read in time")

// Accepted is the accepted revision and its text.
type Accepted struct {
	Revision state.Revision `json:"revision"` // its number is 0 before the first
	Text     []byte         `json:"text"`
}

// readAccepted returns what is accepted, as of a moment after the call.
func (n *Node) readAccepted(ctx context.Context) (*Accepted, error) {
	confirmed := make(chan struct{})
	if err := n.whileLeading(ctx, func(now time.Time, g *group) error { return g.startRead(now, confirmed) }); err != nil {
		return nil, err
	}
	select {
	case <-confirmed:
	case <-n.stopped:
		return nil, errStopped
	case <-ctx.Done():
		_ = n.do(context.WithoutCancel(ctx), func(time.Time) { n.core.group.reads.forget(confirmed) }) // fails only when all ends
		return nil, errUnconfirmed
	}
	var found Accepted
	err := n.do(ctx, func(time.Time) {
		machine := n.core.group.machine
		found = Accepted{Revision: machine.Current(), Text: machine.Text()}
	})
	return &found, err
}

// whileLeading runs a task on the control goroutine if this voter leads. Unlike
// asLeader it asks for no lease: what the task starts is confirmed by a majority
// before it counts.
func (n *Node) whileLeading(ctx context.Context, t func(now time.Time, g *group) error) error {
	var refused error
	err := n.do(ctx, func(now time.Time) {
		n.core.followLeadership(now)
		if n.core.leader == nil {
			refused = errNotLeader
			return
		}
		refused = t(now, n.core.group)
	})
	if err != nil {
		return err
	}
	return refused
}
