package order

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/settings"
	"celeryport/upstream"
)

// Source provides the driver's inputs. Its methods may be called from any
// goroutine and do not block.
type Source interface {
	Issuer() Issuer
	DesiredState() *settings.Tree
	Upstreams() *upstream.Snapshot
}

// Options configure a Driver.
type Options struct {
	Log    logrus.FieldLogger
	Clock  clock.Clock
	Key    string // sent to the engines
	Timing Timing
	Dial   func(address string) (net.Conn, error) // nil selects TCP
}

// Driver runs a Reconciler and executes its actions.
type Driver struct {
	opts       Options
	source     Source
	caller     *caller
	reconciler *Reconciler
	results    chan Result
	records    atomic.Pointer[[]Record]
}

const (
	roundInterval = 250 * time.Millisecond
	resultQueue   = 64
)

// NewDriver returns a driver; Run starts it.
func NewDriver(source Source, opts Options) *Driver {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming()
	}
	return &Driver{
		opts:       opts,
		source:     source,
		caller:     newCaller(opts.Key, opts.Timing.Timeout, opts.Dial),
		reconciler: NewReconciler(opts.Timing),
		results:    make(chan Result, resultQueue),
	}
}

// Records returns the newest orders, oldest first.
func (d *Driver) Records() []Record {
	if records := d.records.Load(); records != nil {
		return *records
	}
	return nil
}

// Run reconciles the engines until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-d.results:
			d.reconciler.HandleResult(d.opts.Clock.Now(), result)
		case <-ticker.C:
		}
		d.round(ctx)
	}
}

func (d *Driver) round(ctx context.Context) {
	now := d.opts.Clock.Now()
	actions := d.reconciler.Step(now, d.source.Issuer(), d.source.DesiredState(), d.source.Upstreams())
	for _, a := range actions {
		go d.execute(ctx, a)
	}
	records := d.reconciler.Records()
	d.records.Store(&records)
}

// execute makes one call and delivers its result.
func (d *Driver) execute(ctx context.Context, a Action) {
	result := d.call(a)
	if result.State == nil {
		eventLost.Log(d.opts.Log, event.Fields{"engine": a.Engine, "reason": result.Reason})
	}
	select {
	case d.results <- result:
	case <-ctx.Done():
	}
}

func (d *Driver) call(a Action) Result {
	result := Result{Engine: a.Engine, Incarnation: a.Incarnation, Order: a.Order}
	if a.Order == nil {
		state, err := d.caller.read(a.Address)
		if err != nil {
			result.Reason = err.Error()
			return result
		}
		result.State = state
		return result
	}
	return d.order(a, result)
}

// order sends an order. It checks again immediately before the call that this
// instance is still the issuer: the process may have been frozen since the
// decision, and another issuer may have taken over.
func (d *Driver) order(a Action, result Result) Result {
	issuer := d.source.Issuer()
	if !issuer.Valid(d.opts.Clock.Now()) || issuer.Fence.Term != a.Order.Term || issuer.Fence.Index != a.Order.Index {
		result.Reason = "not sent: no longer the issuer"
		return result
	}
	eventSent.Log(d.opts.Log, event.Fields{
		"engine": a.Engine, "kind": a.Order.Kind, "value": a.Order.Value,
		"order": a.Order.ID, "term": a.Order.Term, "index": a.Order.Index,
	})
	response, err := d.caller.order(a.Address, a.Order)
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	result.State = &response.State
	result.Accepted = response.Accepted
	result.Reason = response.Reason
	if !response.Accepted {
		eventRefused.Log(d.opts.Log, event.Fields{"engine": a.Engine, "order": a.Order.ID, "reason": response.Reason})
	}
	return result
}
