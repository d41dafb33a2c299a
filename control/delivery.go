package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/verdict"
)

// delivery follows what a voter must have a leader take in before those who wait for it
// are told so. Only the control goroutine touches it.
//
// All that wait share the voter's own syncs. When engines are replaced while there is no
// leader, many wait at once: if each of them looked for a leader by itself, again and
// again, the voters would have no time to elect one.
type delivery struct {
	noted   uint64 // how much was noted that a leader must take in
	taken   uint64 // of that, how much a leader has
	waiting map[chan struct{}]uint64
}

// note returns the mark of what is known by now.
func (d *delivery) note() uint64 {
	d.noted++
	return d.noted
}

// await returns a channel that is closed when a leader has all up to a mark.
func (d *delivery) await(mark uint64) chan struct{} {
	done := make(chan struct{})
	if mark <= d.taken {
		close(done)
		return done
	}
	if d.waiting == nil {
		d.waiting = map[chan struct{}]uint64{}
	}
	d.waiting[done] = mark
	return done
}

// takenUpTo notes that a leader has all up to a mark.
func (d *delivery) takenUpTo(mark uint64) {
	d.taken = max(d.taken, mark)
	for done, wanted := range d.waiting {
		if wanted <= d.taken {
			delete(d.waiting, done)
			close(done)
		}
	}
}

// errUndelivered ends the wait for a leader that did not come in time.
var errUndelivered = verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no leader took it in in time")

// passOn has the leader take in what this instance knows by now, before who waits for it
// is told so: an upstream that leaves counts on getting nothing new from then on. An answer alone
// is no proof: a voter that is asked for the first time lacks what was sent to the one before, and
// takes nothing until it is sent all.
func (n *Node) passOn(ctx context.Context) error {
	if n.opts.Process.Voter {
		return n.awaitDelivery(ctx)
	}
	var wanted uint64
	err := n.do(ctx, func(now time.Time) { wanted = n.core.gathered(now) })
	for err == nil {
		synced := n.syncOnce(ctx, 0)
		var taken bool
		if err = n.do(ctx, func(time.Time) { taken = n.core.position.heardUpTo >= wanted }); err != nil {
			break
		}
		if synced == nil && taken {
			return nil
		}
		if !clock.Pause(ctx, n.opts.Timing.Retry) {
			return errors.CombineErrors(errUndelivered, synced)
		}
	}
	return err
}

// gathered returns the batch up to which whatever was heard by now goes out.
func (c *core) gathered(now time.Time) uint64 {
	if err := c.out.gather(now); err != nil {
		eventRelayFailed.Log(c.log, event.Fields{"error": err})
	}
	return c.out.sender.Position()
}

// awaitDelivery waits until a sync of this voter has brought the leader all that is known
// by now.
func (n *Node) awaitDelivery(ctx context.Context) error {
	var done chan struct{}
	err := n.do(ctx, func(time.Time) {
		d := &n.core.fanout.delivery
		done = d.await(d.note())
	})
	if err != nil {
		return err
	}
	n.kickSync()
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return errStopped
	case <-ctx.Done():
		_ = n.do(context.WithoutCancel(ctx), func(time.Time) { delete(n.core.fanout.delivery.waiting, done) }) // fails only when all ends
		return errUndelivered
	}
}
