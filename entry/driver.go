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

// viewInterval is how often the driver checks for a new view of the control state.
// A check is one atomic load.
const viewInterval = 20 * time.Millisecond

// driver serialises the calls to the dispatcher and executes the actions that it
// returns.
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

// run ticks the dispatcher and passes new views to it until close.
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
		d.installView(now, view)
		d.tickIfDue(now)
	})
}

// tickIfDue must be called with the lock held. It uses the earliest time that the
// dispatcher has returned since the last tick: a later time may have been returned
// for other work.
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

// installView passes changes of the view to the dispatcher. It must be called with
// the lock held.
func (d *driver) installView(now time.Time, view *control.View) {
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

// do calls the dispatcher under the lock and executes the resulting actions.
func (d *driver) do(call func(now time.Time)) {
	d.mu.Lock()
	call(d.options.Clock.Now())
	work, outliers := d.collectActions(), d.dispatcher.OutlierChanges()
	d.mu.Unlock()
	for i := range outliers {
		d.reportOutlier(&outliers[i])
	}
	for _, w := range work {
		d.execute(w)
	}
}

// pendingAction is an action with the exchange that it concerns.
type pendingAction struct {
	action   dispatch.Action
	exchange *exchange
}

// collectActions must be called with the lock held: the actions are valid only until
// the next call to the dispatcher.
func (d *driver) collectActions() []pendingAction {
	actions := d.dispatcher.Actions()
	if len(actions) == 0 {
		return nil
	}
	work := make([]pendingAction, len(actions))
	for i := range actions {
		work[i] = pendingAction{action: actions[i], exchange: d.exchanges[actions[i].Request.ID]}
	}
	return work
}

func (d *driver) execute(w pendingAction) {
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

func (d *driver) send(w pendingAction) {
	if w.exchange == nil {
		return // the exchange has ended; withdrawing it frees the placement
	}
	action := w.action
	work := func() { d.finish(w.exchange, d.sender.send(w.exchange, &action)) }
	if err := d.pools.submit(w.exchange.request, work); err != nil {
		full := verdict.Wrap(err, verdict.NotRun, verdict.ReasonQueueFull, "no free worker")
		d.finish(w.exchange, dispatch.Outcome{Err: full})
	}
}

// offer registers a new exchange and passes its request to the dispatcher.
func (d *driver) offer(e *exchange) {
	d.do(func(now time.Time) {
		d.installView(now, d.options.Plane.View())
		d.exchanges[e.request.ID] = e
		d.dispatcher.Offer(now, e.request)
	})
	// The deadline ends the exchange even if a send or the dispatcher hangs. After any
	// other end, timeOut does nothing.
	context.AfterFunc(e.ctx, func() { d.timeOut(e) })
}

func (d *driver) firstToken(e *exchange) {
	d.do(func(now time.Time) { d.dispatcher.FirstToken(now, e.request.ID) })
}

// finish reports the outcome of a send to the dispatcher. A successful send is the
// final answer. A send that failed because its exchange ended is withdrawn by what
// ended it, and shows nothing of the upstream.
func (d *driver) finish(e *exchange, outcome dispatch.Outcome) {
	if outcome.Err != nil && e.ctx.Err() != nil {
		return
	}
	if outcome.Err == nil {
		d.end(e, e.servedResult(outcome))
	}
	d.do(func(now time.Time) {
		if d.exchanges[e.request.ID] == e {
			d.dispatcher.Finish(now, e.request.ID, outcome)
		}
	})
	if outcome.Err == nil {
		d.removeExchange(e)
	}
}

func (d *driver) upstreams() *upstream.Snapshot {
	if view := d.options.Plane.View(); view != nil {
		return view.Upstreams
	}
	return nil
}

func (d *driver) removeExchange(e *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exchanges[e.request.ID] == e {
		delete(d.exchanges, e.request.ID)
	}
}

// inFlight returns the number of requests without a final answer.
func (d *driver) inFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.exchanges)
}

// hasRequest reports whether the request is in flight on this instance.
func (d *driver) hasRequest(request string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.exchanges[request]
	return known
}
