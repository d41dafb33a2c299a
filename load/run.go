package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
)

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

// run is the state of a run in progress.
type run struct {
	options Options
	caller  *caller
	tally   *tally
	pool    *ants.Pool
	pending sync.WaitGroup
	started time.Time
}

// Run sends the requests of the mix and waits for the outcome of each. When ctx is
// done, no further requests are sent; those in flight are completed.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	mix, err := o.Mix.Restrict(o.Keys)
	if err != nil {
		return nil, err
	}
	o.Mix = mix
	// A non-blocking pool keeps the loop open: if a slow fleet slowed down the load
	// generator, its real latency would not be measured.
	pool, err := ants.NewPool(o.MaxInFlight, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "start the pool")
	}
	defer pool.Release()
	t := newTally(&mix, o.EngineMemory)
	r := &run{options: o, caller: newCaller(&o, t.addTry), tally: t, pool: pool, started: time.Now()}
	if err := r.sendAll(ctx); err != nil {
		return nil, err
	}
	return r.report(context.WithoutCancel(ctx)), nil
}

func newCaller(o *Options, onTry func(*Work, *Outcome)) *caller {
	x := &httpClient{dial: o.Dial}
	c := &caller{
		httpClient:    x,
		mix:           &o.Mix,
		keys:          o.Keys,
		addressCaches: map[string]*addressCache{},
		deadlineScale: o.DeadlineScale,
		grace:         o.Grace,
		resendOneIn:   o.ResendOneIn,
		onTry:         onTry,
	}
	for organisation, key := range o.Keys {
		c.addressCaches[organisation] = newAddressCache(x, o.To, key, o.AvailabilityZone)
	}
	return c
}

// sendAll sends the requests when they are due and waits for their outcomes.
func (r *run) sendAll(ctx context.Context) error {
	progress, stop := context.WithCancel(context.Background())
	var progressDone sync.WaitGroup
	progressDone.Go(func() { r.showProgress(progress) })
	defer progressDone.Wait()
	defer stop()
	defer r.pending.Wait()
	g := newGenerator(r.options.Mix, r.options.Rate, r.options.Seed)
	g.noRepeatOneIn = r.options.NoRepeatOneIn
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w, err := g.next()
		if err != nil {
			return err
		}
		if r.isPastEnd(w) {
			return nil
		}
		timer.Reset(time.Until(r.started.Add(w.After)))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		r.submit(w)
	}
}

func (r *run) isPastEnd(w *Work) bool {
	if r.options.Requests > 0 && w.Number > r.options.Requests {
		return true
	}
	return r.options.Duration > 0 && w.After > r.options.Duration
}

func (r *run) submit(w *Work) {
	r.tally.addOffered()
	r.pending.Add(1)
	due := r.started.Add(w.After)
	err := r.pool.Submit(func() {
		defer r.pending.Done()
		r.execute(w, due)
	})
	if err != nil {
		r.pending.Done()
		r.tally.addUnsent()
	}
}

// execute makes one request and records its outcome. It does not use the context of
// the run, because a request that was sent is completed even if the run is stopped.
func (r *run) execute(w *Work, due time.Time) {
	o := r.caller.do(context.Background(), w, due)
	r.tally.add(w, &o, r.caller.deadline(w))
	fields := logrus.Fields{
		"number": w.Number, "class": w.Class.Name, "organisation": w.Organisation,
		"request": o.RequestID, "reason": o.Reason, "detail": o.Detail,
	}
	switch o.Result {
	case Lost:
		eventLost.Log(r.options.Log, fields)
	case Crossed:
		eventCrossed.Log(r.options.Log, fields)
	}
}

func (r *run) showProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(r.options.Progress, "%6s  %s\n", time.Since(r.started).Round(time.Second), r.tally.progress())
		}
	}
}

// report returns the report of the run, including the comparison with the execution
// counts of the services if there are any.
func (r *run) report(ctx context.Context) *Report {
	report := r.tally.report(&r.options, time.Since(r.started))
	if len(r.options.CountsFrom) == 0 {
		return report
	}
	counts, err := fetchCounts(ctx, r.caller.httpClient, r.options.CountsFrom, r.options.CountsKey)
	if err != nil {
		eventCountsFailed.Log(r.options.Log, logrus.Fields{"error": err.Error()})
		report.CountsError = err.Error()
		return report
	}
	e := compareExecutions(r.tally.calls, counts)
	report.Doubled, report.FalselyRefused, report.Counted = e.doubled, e.falselyRefused, true
	return report
}
