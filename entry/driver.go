package entry

import (
	"context"
	"sync"
	"time"

	"celeryport/control"
	"celeryport/dispatch"
	"celeryport/upstream"
	"celeryport/verdict"
)

// viewInterval is how often the driver looks for a new view of the control
// state. Looking is one atomic load.
const viewInterval = 20 * time.Millisecond

// driver serialises the calls of the dispatcher and carries out its actions.
type driver struct {
	options *Options
	pools   *pools
	sender  *sender
	stop    chan struct{}
	stopped chan struct{}

	mu         sync.Mutex
	dispatcher dispatch.Dispatcher
	exchanges  map[string]*exchange
	view       *control.View
	nextTick   time.Time
}

func newDriver(options *Options, pools *pools, sender *sender) *driver {
	d := &driver{
		options:    options,
		pools:      pools,
		sender:     sender,
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
		dispatcher: options.Dispatcher,
		exchanges:  map[string]*exchange{},
	}
	sender.driver = d
	return d
}

func (d *driver) start() { go d.run() }

// run ticks the dispatcher and hands it new views until close.
func (d *driver) run() {
	defer close(d.stopped)
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.tick()
		}
	}
}

func (d *driver) close() {
	close(d.stop)
	<-d.stopped
}

func (d *driver) tick() {
	view := d.options.Plane.View()
	d.do(func(now time.Time) {
		d.install(now, view)
		d.tickIfDue(now)
	})
}

// tickIfDue must be called with the lock held. The earliest time that was named
// since the last tick counts: a later one may have been named for other work.
func (d *driver) tickIfDue(now time.Time) {
	if next := d.dispatcher.NextTick(now); d.nextTick.IsZero() || next.Before(d.nextTick) {
		d.nextTick = next
	}
	if now.Before(d.nextTick) {
		return
	}
	d.dispatcher.Tick(now)
	d.nextTick = d.dispatcher.NextTick(now)
}

// install must be called with the lock held.
func (d *driver) install(now time.Time, view *control.View) {
	if view == nil || view == d.view {
		return
	}
	old := d.view
	d.view = view
	if view.Tree != nil && (old == nil || old.Tree != view.Tree) {
		d.dispatcher.Configure(now, view.Tree)
	}
	if view.Upstreams != nil && (old == nil || old.Upstreams != view.Upstreams) {
		d.dispatcher.Observe(now, view.Upstreams)
	}
	d.dispatcher.ApplyGrants(now, view.Grants)
}

// do calls the dispatcher under the lock and carries out what it asks for.
func (d *driver) do(call func(now time.Time)) {
	d.mu.Lock()
	call(d.options.Clock.Now())
	work := d.collect()
	d.mu.Unlock()
	for _, w := range work {
		d.carryOut(w)
	}
}

// assignment is an action with the exchange that it concerns.
type assignment struct {
	action   dispatch.Action
	exchange *exchange
}

// collect must be called with the lock held: the actions are valid only until
// the next call of the dispatcher.
func (d *driver) collect() []assignment {
	actions := d.dispatcher.Actions()
	if len(actions) == 0 {
		return nil
	}
	work := make([]assignment, len(actions))
	for i := range actions {
		work[i] = assignment{action: actions[i], exchange: d.exchanges[actions[i].Request.ID]}
	}
	return work
}

func (d *driver) carryOut(w assignment) {
	switch w.action.Kind {
	case dispatch.Send:
		d.send(w)
	case dispatch.Refuse:
		if w.exchange != nil {
			d.end(w.exchange, result{err: w.exchange.withOwnVerdict(w.action.Err)})
		}
	case dispatch.Cancel:
		d.sender.cancel(w.action)
	}
}

func (d *driver) send(w assignment) {
	if w.exchange == nil {
		return // ended in the meantime; its withdrawal frees the placement
	}
	action := w.action
	work := func() { d.finish(w.exchange, d.sender.send(w.exchange, &action)) }
	if err := d.pools.submit(w.exchange.request, work); err != nil {
		full := verdict.Wrap(err, verdict.NotRun, verdict.ReasonQueueFull, "no free worker")
		d.finish(w.exchange, dispatch.Outcome{Err: full})
	}
}

// offer hands a new exchange to the dispatcher.
func (d *driver) offer(e *exchange) {
	d.do(func(now time.Time) {
		d.install(now, d.options.Plane.View())
		d.exchanges[e.request.ID] = e
		d.dispatcher.Offer(now, e.request)
	})
	// The deadline ends the exchange whatever else hangs. After any other end
	// this does nothing.
	context.AfterFunc(e.ctx, func() { d.timeOut(e) })
}

func (d *driver) firstToken(e *exchange) {
	d.do(func(now time.Time) { d.dispatcher.FirstToken(now, e.request.ID) })
}

// finish reports how a send ended. A success is the final answer.
func (d *driver) finish(e *exchange, outcome dispatch.Outcome) {
	if outcome.Err == nil {
		d.end(e, e.served(outcome))
	}
	d.do(func(now time.Time) {
		if d.exchanges[e.request.ID] == e {
			d.dispatcher.Finish(now, e.request.ID, outcome)
		}
	})
	if outcome.Err == nil {
		d.forget(e)
	}
}

func (d *driver) upstreams() *upstream.Snapshot {
	if view := d.options.Plane.View(); view != nil {
		return view.Upstreams
	}
	return nil
}

func (d *driver) forget(e *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exchanges[e.request.ID] == e {
		delete(d.exchanges, e.request.ID)
	}
}

// inFlight is the number of requests without a final answer.
func (d *driver) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.exchanges)
}

// knows reports whether the request is in flight here.
func (d *driver) knows(request string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.exchanges[request]
	return known
}
