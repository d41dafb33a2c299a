package control

import (
	"context"
	"time"

	"celeryport/claim"
)

// claimDriver runs one claimant: it sends its messages and feeds the answers back. Only
// one goroutine at a time uses it, first the one that claims and later the one that
// settles.
type claimDriver struct {
	node      *Node
	claimant  *claim.Claimant
	startedAt time.Time
	answers   chan claim.Message
}

// run claims until the voters have decided or ctx is done.
func (d *claimDriver) run(ctx context.Context) ClaimResult {
	d.send(ctx, d.claimant.Start(d.node.clock.Now()))
	for d.claimant.Result().State == claim.Undecided {
		if !d.advance(ctx) {
			d.abandon(ctx)
			return ClaimResult{State: NoMajority}
		}
	}
	if d.claimant.MaySend(d.node.clock.Now()) {
		return ClaimResult{State: Won}
	}
	d.abandon(ctx)
	return resultOf(d.claimant.Result())
}

// abandon ends the claim and releases the granted votes in the background.
func (d *claimDriver) abandon(ctx context.Context) {
	d.send(ctx, d.claimant.Abandon(d.node.clock.Now()))
	d.node.settling.Add(1)
	go func() {
		defer d.node.settling.Add(-1)
		d.drive(context.WithoutCancel(ctx))
	}()
}

// advance waits for an answer or for the next tick. It returns false if ctx is done and
// the claimant is still undecided.
func (d *claimDriver) advance(ctx context.Context) bool {
	d.followVoters(ctx)
	timer := time.NewTimer(d.claimant.NextTick().Sub(d.node.clock.Now()))
	defer timer.Stop()
	select {
	case m := <-d.answers:
		d.send(ctx, d.claimant.Step(d.node.clock.Now(), m))
	case <-timer.C:
		d.send(ctx, d.claimant.Tick(d.node.clock.Now()))
	case <-ctx.Done():
		d.send(context.WithoutCancel(ctx), d.claimant.Tick(d.node.clock.Now()))
		return d.claimant.Result().State != claim.Undecided
	}
	return true
}

// followVoters reconfigures the claimant when the voters have changed, because the old
// ones no longer vote.
func (d *claimDriver) followVoters(ctx context.Context) {
	group := d.node.claimGroup.Load()
	if group == nil || group.epoch.Number <= d.claimant.Epoch() {
		return
	}
	d.send(ctx, d.claimant.Reconfigure(d.node.clock.Now(), group.epoch))
}

// settle sends the outcome to the voters.
func (d *claimDriver) settle(o claim.Outcome) {
	ctx := context.Background()
	d.followVoters(ctx)
	d.send(ctx, d.claimant.Settle(d.node.clock.Now(), o))
	d.drive(ctx)
}

// drive advances the claimant until it has nothing left to do.
func (d *claimDriver) drive(ctx context.Context) {
	for !d.claimant.NextTick().IsZero() {
		if !d.advance(ctx) {
			return
		}
		select {
		case <-d.node.stopped:
			return
		default:
		}
	}
}

// send sends each message in a goroutine of its own, so that an unresponsive voter delays
// none of the others.
func (d *claimDriver) send(ctx context.Context, messages []claim.Message) {
	for _, m := range messages {
		sending := ctx
		if m.Kind == claim.SettleRequest {
			sending = context.WithoutCancel(ctx) // the caller may already be answered
		}
		go d.deliver(sending, m)
	}
}

func (d *claimDriver) deliver(ctx context.Context, m claim.Message) {
	answers, err := d.node.sendClaim(ctx, m)
	if err != nil {
		return // asked again after Resend
	}
	for _, answer := range answers {
		select {
		case d.answers <- answer:
		default:
		}
	}
}

// resultOf converts the claimant's result.
func resultOf(r claim.Result) ClaimResult {
	result := ClaimResult{Outcome: r.Outcome}
	switch r.State {
	case claim.Lost:
		result.State = Lost
	case claim.Split:
		result.State = Split
	case claim.Expired:
		result.State = Expired
	default:
		result.State = NoMajority
	}
	return result
}
