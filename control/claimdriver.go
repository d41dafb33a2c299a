package control

import (
	"context"
	"time"

	"celeryport/claim"
)

// claimDriver runs one claimant: it carries its messages and hands in the
// answers. One goroutine at a time uses it, first the one that claims and later
// the one that settles.
type claimDriver struct {
	node      *Node
	claimant  *claim.Claimant
	startedAt time.Time
	answers   chan claim.Message
}

// run claims until the voters have decided or ctx ends.
func (d *claimDriver) run(ctx context.Context) ClaimResult {
	d.send(ctx, d.claimant.Start(d.node.clock.Now()))
	for d.claimant.Result().State == claim.Undecided {
		if !d.advance(ctx) {
			// The caller has left: what was granted is freed in the background.
			go d.drive(context.WithoutCancel(ctx))
			return ClaimResult{State: NoMajority}
		}
	}
	if d.claimant.MaySend(d.node.clock.Now()) {
		return ClaimResult{State: Won}
	}
	go d.drive(context.WithoutCancel(ctx)) // releases what was granted
	return resultOf(d.claimant.Result())
}

// advance waits for an answer or for the next tick. It returns false when ctx
// has ended and the claimant has no more to say about it.
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

// followVoters goes on with the new voters when they have changed; the old ones
// no longer vote.
func (d *claimDriver) followVoters(ctx context.Context) {
	group := d.node.claimGroup.Load()
	if group == nil || group.epoch.Number <= d.claimant.Epoch() {
		return
	}
	d.send(ctx, d.claimant.Reconfigure(d.node.clock.Now(), group.epoch))
}

// settle tells the voters the outcome.
func (d *claimDriver) settle(o claim.Outcome) {
	ctx := context.Background()
	d.followVoters(ctx)
	d.send(ctx, d.claimant.Settle(d.node.clock.Now(), o))
	d.drive(ctx)
}

// drive goes on until the claimant has nothing left to do.
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

// send carries each message by a goroutine of its own, so that one silent voter
// delays none of the others.
func (d *claimDriver) send(ctx context.Context, messages []claim.Message) {
	for _, m := range messages {
		go d.carry(ctx, m)
	}
}

func (d *claimDriver) carry(ctx context.Context, m claim.Message) {
	answers, err := d.node.carryClaim(ctx, m)
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

// resultOf translates the state of the claimant.
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
