package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/event"
)

// reservation is memory reserved at a helper for a part of one call's prompt.
type reservation struct {
	node   *node
	name   string // unique to this send, since an earlier send of the call may still be in progress at the helper
	tokens int
	used   atomic.Bool // the answer has begun, so that the call uses the memory
	freed  atomic.Bool // the memory was given up because no call used it
}

const (
	// leaseDuration is the lease of a reservation. An instance that is killed releases nothing,
	// and its memory has to be free four seconds later.
	leaseDuration = 3900 * time.Millisecond
	// renewInterval leaves time for several tries before a lease ends. It is so long that most
	// prompts are answered before the first renewal is due, because an engine may carry out a
	// renewal after the send has ended and would then reserve memory that no send uses.
	renewInterval = 2500 * time.Millisecond
	// renewRetryInterval is the pause between two tries at a helper that does not reply.
	renewRetryInterval = 100 * time.Millisecond
	// orderTimeout bounds one order; between zones it takes some milliseconds.
	orderTimeout = 250 * time.Millisecond
	// releaseRetryInterval is the pause between two tries to release memory.
	releaseRetryInterval = 200 * time.Millisecond
)

var (
	// errNoMemory means that a helper did not reserve the memory.
	errNoMemory = errors.New("no memory at a helper")
	// errNoReply means that a helper did not reply to an order in time. It may be silent for a moment.
	errNoReply = errors.New("the helper does not reply")
)

// reserve reserves the memory of a send at all helpers or at none. With an error it returns the
// helper that refused.
func (f *fleet) reserve(ctx context.Context, w *work) (*node, error) {
	leases, failures := make([]lease, len(w.memory)), make([]error, len(w.memory))
	var wait sync.WaitGroup
	for i, r := range w.memory {
		leases[i] = lease{idle: f.options.Process.IdleMemory, reservedAt: time.Now()}
		wait.Go(func() { failures[i] = f.orderFor(ctx, r, &leases[i], w.patience) })
	}
	wait.Wait()
	for i, failure := range failures {
		if failure == nil {
			continue
		}
		eventNotReserved.Log(f.options.Log, event.Fields{
			"reservation": w.memory[i].name, "upstream": w.memory[i].node.name, "tokens": w.memory[i].tokens, "error": failure.Error(),
		})
		f.release(w)
		return w.memory[i].node, errors.Mark(errors.Wrap(failure, errNoMemory.Error()), errNoMemory)
	}
	w.renewing, w.stopRenewing = context.WithCancel(context.WithoutCancel(ctx))
	for i, r := range w.memory {
		go f.renew(w.renewing, w.lead, r, leases[i])
	}
	return nil, nil
}

// orderFor reserves memory. A helper that does not reply is asked again for the given time.
func (f *fleet) orderFor(ctx context.Context, r *reservation, l *lease, patience time.Duration) error {
	until := time.Now().Add(patience)
	for {
		err := f.extend(ctx, r, l)
		if !errors.Is(err, errNoReply) || !time.Now().Before(until) || !clock.Pause(ctx, renewRetryInterval) {
			return err
		}
	}
}

// extend sends one order that reserves memory or renews its lease.
func (f *fleet) extend(ctx context.Context, r *reservation, l *lease) error {
	sentAt := time.Now()
	hold := l.hold(sentAt)
	err := f.order(ctx, r, &Order{Hold: hold})
	l.record(sentAt, hold, err)
	return err
}

// renew renews the lease of a reservation until its send to the lead ends, or until no call has used the memory in time.
// The lease then ends by itself.
func (f *fleet) renew(ctx context.Context, lead *node, r *reservation, l lease) {
	for clock.Pause(ctx, l.renewAfter(time.Now())) {
		use := MemoryUnknown
		if l.used = l.used || r.used.Load(); l.limited(time.Now()) {
			use = f.memoryUse(ctx, r)
			l.used = use == MemoryUsed
		}
		switch {
		case ctx.Err() != nil:
			return
		case l.ended(time.Now()):
			r.freed.Store(true)
			f.logUnused(time.Now(), l.reservedAt, lead, r, use)
			return
		case l.due():
			if err := f.extend(ctx, r, &l); err != nil && ctx.Err() == nil {
				eventNotReserved.Log(f.options.Log, event.Fields{
					"reservation": r.name, "upstream": r.node.name, "tokens": r.tokens, "error": err.Error(),
				})
			}
		}
	}
}

// logUnused logs that memory is given up.
func (f *fleet) logUnused(now, reservedAt time.Time, lead *node, r *reservation, use MemoryUse) {
	f.mu.Lock()
	load := f.loadOf(now, lead)
	f.mu.Unlock()
	eventMemoryUnused.Log(f.options.Log, event.Fields{
		"reservation": r.name, "upstream": r.node.name, "tokens": r.tokens, "reserved_ms": now.Sub(reservedAt).Milliseconds(), "observed": use.String(),
		"lead": lead.name, "lead_streams": load.Streams, "lead_held": load.Held,
	})
}

// release releases the memory of a send in the background, until the engine confirms it or the
// lease has ended. It is not retried while the engine rests. Refused reservations are released
// too: an order without an answer may have been carried out.
func (f *fleet) release(w *work) {
	if w.stopRenewing != nil {
		w.stopRenewing()
	}
	until := time.Now().Add(leaseDuration)
	for _, r := range w.memory {
		go func() {
			if f.order(context.Background(), r, &Order{Release: true}) == nil {
				return
			}
			for time.Now().Before(until) && clock.Pause(context.Background(), releaseRetryInterval) {
				if !f.isResting(r.node) && f.order(context.Background(), r, &Order{Release: true}) == nil {
					return
				}
			}
		}()
	}
}

// order sends one order about a reservation and returns an error if it was not carried out.
func (f *fleet) order(ctx context.Context, r *reservation, o *Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.Incarnation, o.Reservation, o.Tokens = r.node.name, r.name, r.tokens
	head, body, err := f.options.Dialect.OrderMessage(r.node.address, o)
	if err != nil {
		return err
	}
	status, _, err := f.roundTrip(ctx, r.node, head, body, reuseForCalls)
	if isTimeout(err) || errors.Is(err, context.DeadlineExceeded) {
		return errors.Mark(err, errNoReply)
	}
	if err != nil {
		return err
	}
	if status == http.StatusMisdirectedRequest {
		f.recordReplaced(r.node)
		if o.Release {
			return nil // the memory ended with the process
		}
		return errWrongIncarnation
	}
	if !f.options.Dialect.OrderDone(status) {
		return errors.Newf("status %d", status)
	}
	return nil
}
