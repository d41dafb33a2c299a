package control

import (
	"context"
	"time"

	"celeryport/consensus"
	"celeryport/control/state"
	"celeryport/verdict"
)

// reads are the pending reads of the accepted state, each waiting until a majority has
// confirmed that this voter still leads.
//
// A lease is not sufficient: the clock of a suspended machine stands still, so after
// resuming its lease can seem valid although another leader has accepted changes. A round
// of messages after the start of the read proves the leadership.
type reads struct {
	last    uint64 // context of the latest read
	waiting map[uint64]chan<- struct{}
}

// startRead starts a read; confirmed is closed when a majority has confirmed it.
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

// confirmed completes the reads that a majority has confirmed. All entries up to their
// index have been applied, because a batch returns committed entries before the reads that
// depend on them.
func (r *reads) confirmed(states []consensus.ReadState) {
	for _, s := range states {
		if waiting, found := r.waiting[s.Context]; found {
			delete(r.waiting, s.Context)
			close(waiting)
		}
	}
}

// cancel removes a read whose caller has stopped waiting.
func (r *reads) cancel(confirmed chan<- struct{}) {
	for context, waiting := range r.waiting {
		if waiting == confirmed {
			delete(r.waiting, context)
		}
	}
}

// errUnconfirmed is returned when no majority confirmed a read in time.
var errUnconfirmed = verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no majority of the voters confirmed the read in time")

// Accepted is the accepted revision and its text.
type Accepted struct {
	Revision state.Revision `json:"revision"` // number 0 before the first accepted revision
	Text     []byte         `json:"text"`
}

// readAccepted returns the accepted revision as of a time after the call began.
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
		_ = n.do(context.WithoutCancel(ctx), func(time.Time) { n.core.group.reads.cancel(confirmed) }) // fails only if the node has stopped
		return nil, errUnconfirmed
	}
	var found Accepted
	err := n.do(ctx, func(time.Time) {
		machine := n.core.group.machine
		found = Accepted{Revision: machine.Current(), Text: machine.Text()}
	})
	return &found, err
}

// whileLeading runs a task on the control goroutine if this voter leads. Unlike asLeader
// it requires no lease, because a majority confirms what the task starts before it takes
// effect.
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
