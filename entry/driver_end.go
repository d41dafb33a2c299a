package entry

import (
	"time"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/verdict"
)

// end sets the final answer of the exchange, if it has none yet.
func (d *driver) end(e *exchange, r result) {
	if e.end(d.options.Clock.Now(), r) {
		d.complete(e)
	}
	if r.err != nil {
		d.removeExchange(e)
	}
}

// abort ends an exchange for a reason other than its deadline or the outcome of a
// send, such as a caller who disconnected.
func (d *driver) abort(e *exchange, reason verdict.Reason, message string) {
	d.withdraw(e, result{err: e.failure(reason, message)})
}

// timeOut ends an exchange whose deadline has passed. Plain services send no
// heartbeats, so for them it reports a failed send to the dispatcher instead of only
// withdrawing the request. Otherwise a service that never answers would never count
// as failing and would keep its share of the calls.
func (d *driver) timeOut(e *exchange) {
	failed := e.failure(verdict.ReasonTimeout, "the deadline passed")
	if !e.end(d.options.Clock.Now(), result{err: failed}) {
		return
	}
	d.complete(e)
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

// withdraw ends an exchange and removes it from the dispatcher, which cancels its
// sends.
func (d *driver) withdraw(e *exchange, r result) {
	if !e.end(d.options.Clock.Now(), r) {
		return
	}
	d.complete(e)
	d.do(func(now time.Time) {
		if d.exchanges[e.request.ID] == e {
			delete(d.exchanges, e.request.ID)
			d.dispatcher.Withdraw(now, e.request.ID)
		}
	})
}

// complete records, publishes and settles the final answer of an exchange. It is
// called once for each exchange. The answer is recorded before the caller can see it,
// so that reports include every answer that a caller has received.
func (d *driver) complete(e *exchange) {
	record(d.options.Recorder, e.request, e.outcome(), d.upstreams())
	e.publish()
	d.sender.settle(e)
}
