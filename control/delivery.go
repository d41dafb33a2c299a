package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/verdict"
)

// delivery tracks which updates of this voter the leader has acknowledged, so that a
// caller can be answered only after the leader has its update. Only the control goroutine
// uses it.
//
// All callers share the voter's own syncs. When engines are replaced while there is no
// leader, many callers wait at once: if each of them searched for a leader on its own, the
// load on the voters would keep them from electing one.
type delivery struct {
	lastMark     uint64 // last mark issued; every update up to it must reach a leader
	acknowledged uint64 // highest mark that a leader has acknowledged
	waiting      map[chan struct{}]uint64
}

// nextMark issues a mark that covers every update known at the time of the call.
func (d *delivery) nextMark() uint64 {
	d.lastMark++
	return d.lastMark
}

// await returns a channel that is closed when a leader has acknowledged the mark.
func (d *delivery) await(mark uint64) chan struct{} {
	done := make(chan struct{})
	if mark <= d.acknowledged {
		close(done)
		return done
	}
	if d.waiting == nil {
		d.waiting = map[chan struct{}]uint64{}
	}
	d.waiting[done] = mark
	return done
}

// acknowledge records that a leader has every update up to the mark.
func (d *delivery) acknowledge(mark uint64) {
	d.acknowledged = max(d.acknowledged, mark)
	for done, wanted := range d.waiting {
		if wanted <= d.acknowledged {
			delete(d.waiting, done)
			close(done)
		}
	}
}

// errUndelivered is returned when no leader acknowledged the update before the deadline.
var errUndelivered = verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no leader took it in in time")

// propagate returns when a leader has acknowledged everything that this instance knows at
// the time of the call. Only then may the caller be answered: a leaving upstream relies on
// getting no new requests after the acknowledgement. A successful sync alone does not
// prove delivery: a voter that is asked for the first time lacks the earlier batches and
// acknowledges nothing until it has been sent all of them.
func (n *Node) propagate(ctx context.Context) error {
	if n.opts.Process.Voter {
		return n.awaitDelivery(ctx)
	}
	var wanted uint64
	err := n.do(ctx, func(now time.Time) { wanted = n.core.gatherPosition(now) })
	for err == nil {
		synced := n.syncOnce(ctx, 0)
		var delivered bool
		if err = n.do(ctx, func(time.Time) { delivered = n.core.position.appliedUpTo >= wanted }); err != nil {
			break
		}
		if synced == nil && delivered {
			return nil
		}
		if !clock.Pause(ctx, n.opts.Timing.Retry) {
			return errors.CombineErrors(errUndelivered, synced)
		}
	}
	return err
}

// gatherPosition adds all pending announcements to a batch and returns the position of the
// last batch.
func (c *core) gatherPosition(now time.Time) uint64 {
	if err := c.out.gather(now); err != nil {
		eventRelayFailed.Log(c.log, event.Fields{"error": err})
	}
	return c.out.sender.Position()
}

// awaitDelivery waits until a sync of this voter has delivered to the leader everything
// known at the time of the call.
func (n *Node) awaitDelivery(ctx context.Context) error {
	var done chan struct{}
	err := n.do(ctx, func(time.Time) {
		d := &n.core.fanout.delivery
		done = d.await(d.nextMark())
	})
	if err != nil {
		return err
	}
	n.requestSync()
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return errStopped
	case <-ctx.Done():
		_ = n.do(context.WithoutCancel(ctx), func(time.Time) { delete(n.core.fanout.delivery.waiting, done) }) // fails only if the node has stopped
		return errUndelivered
	}
}
