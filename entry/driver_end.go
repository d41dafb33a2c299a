package entry

import (
	"time"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/verdict"
)

// end gives the exchange its final answer, if it has none.
func (d *driver) end(e *exchange, r result) {
	if e.end(d.options.Clock.Now(), r) {
		d.ended(e)
	}
	if r.err != nil {
		d.forget(e)
	}
}

// abandon ends an exchange for a reason of this instance.
func (d *driver) abandon(e *exchange, reason verdict.Reason, message string) {
	d.withdraw(e, result{err: e.failure(reason, message)})
}

// timeOut ends an exchange whose deadline has passed. For a plain service, which
// sends no heartbeats, the dispatcher is told that the send failed and not only
// that the request is gone: a service that never answers would otherwise never be
// blamed, and go on to get its share of the calls.
func (d *driver) timeOut(e *exchange) {
	failed := e.failure(verdict.ReasonTimeout, "the deadline passed")
	if !e.end(d.options.Clock.Now(), result{err: failed}) {
		return
	}
	d.ended(e)
	d.do(func(now time.Time) {
		if d.exchanges[e.request.ID] != e {
			return
		}
		delete(d.exchanges, e.request.ID)
		if e.request.Kind == request.ServiceCall && failed.Verdict != verdict.NotRun {
			d.dispatcher.Finish(now, e.request.ID, dispatch.Outcome{Err: failed, Delivered: e.hasText()})
		}
		d.dispatcher.Withdraw(now, e.request.ID)
	})
}

// withdraw ends an exchange and takes it out of the dispatcher, which cancels
// what was sent.
func (d *driver) withdraw(e *exchange, r result) {
	if !e.end(d.options.Clock.Now(), r) {
		return
	}
	d.ended(e)
	d.do(func(now time.Time) {
		if d.exchanges[e.request.ID] == e {
			delete(d.exchanges, e.request.ID)
			d.dispatcher.Withdraw(now, e.request.ID)
		}
	})
}

// ended does what goes with every final answer, once. It is counted before the
// caller can see it, so that a report never lacks what a caller holds in hand.
func (d *driver) ended(e *exchange) {
	record(d.options.Recorder, e.request, e.outcome(), d.upstreams())
	e.publish()
	d.sender.settle(e)
}
