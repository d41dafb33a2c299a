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

// progressInterval is the time between two lines of progress.
const progressInterval = time.Second

// run is one run under way.
type run struct {
	options Options
	caller  *caller
	tally   *tally
	pool    *ants.Pool
	pending sync.WaitGroup
	started time.Time
}

// Run sends the mix and waits for every request's end. When ctx ends, no further
// requests are sent; those under way are followed to their end.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	mix, err := o.Mix.Restrict(o.Keys)
	if err != nil {
		return nil, err
	}
	o.Mix = mix
	// A pool that does not block keeps the loop open: a slow fleet must not slow
	// down its callers, or its slowness would not be seen.
	pool, err := ants.NewPool(o.MostInFlight, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "start the pool")
	}
	defer pool.Release()
	t := newTally(&mix, o.EngineMemory)
	r := &run{options: o, caller: newCaller(&o, t.addTry), tally: t, pool: pool, started: time.Now()}
	if err := r.offer(ctx); err != nil {
		return nil, err
	}
	return r.report(context.WithoutCancel(ctx)), nil
}

func newCaller(o *Options, tried func(*Work, *Outcome)) *caller {
	x := &exchanger{dial: o.Dial}
	c := &caller{
		exchanger:     x,
		mix:           &o.Mix,
		keys:          o.Keys,
		books:         map[string]*addressBook{},
		deadlineScale: o.DeadlineScale,
		grace:         o.Grace,
		resendOneIn:   o.ResendOneIn,
		tried:         tried,
	}
	for organisation, key := range o.Keys {
		c.books[organisation] = newAddressBook(x, o.To, key, o.AvailabilityZone)
	}
	return c
}

// offer sends the requests when they are due and waits for their ends.
func (r *run) offer(ctx context.Context) error {
	progress, stop := context.WithCancel(context.Background())
	var shown sync.WaitGroup
	shown.Go(func() { r.showProgress(progress) })
	defer shown.Wait()
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
		if r.ends(w) {
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

func (r *run) ends(w *Work) bool {
	if r.options.Requests > 0 && w.Number > r.options.Requests {
		return true
	}
	return r.options.Duration > 0 && w.After > r.options.Duration
}

func (r *run) submit(w *Work) {
	r.tally.offer()
	r.pending.Add(1)
	due := r.started.Add(w.After)
	err := r.pool.Submit(func() {
		defer r.pending.Done()
		r.follow(w, due)
	})
	if err != nil {
		r.pending.Done()
		r.tally.addUnsent()
	}
}

// follow makes one request. It is not bound to the context of the run: a request
// that was sent is followed to its end.
func (r *run) follow(w *Work, due time.Time) {
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

// report asks the services what they executed and sums up.
func (r *run) report(ctx context.Context) *Report {
	report := r.tally.report(&r.options, time.Since(r.started))
	if len(r.options.CountsFrom) == 0 {
		return report
	}
	counts, err := fetchCounts(ctx, r.caller.exchanger, r.options.CountsFrom, r.options.CountsKey)
	if err != nil {
		eventCountsFailed.Log(r.options.Log, logrus.Fields{"error": err.Error()})
		report.CountsError = err.Error()
		return report
	}
	e := compare(r.tally.calls, counts)
	report.Doubled, report.Untrue, report.Counted = e.doubled, e.untrue, true
	return report
}
