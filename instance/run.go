package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/dispatch"
	"celeryport/entry"
	"celeryport/event"
	"celeryport/metrics"
	"celeryport/upstream/client"
)

const (
	demandInterval = 500 * time.Millisecond // between two statements of demand to control
	leaseInterval  = 20 * time.Millisecond  // between two looks for the first lease
)

// Run runs an instance until stop ends, then shuts it down gracefully. cut bounds
// the shutdown besides the drain timeout of the settings: when it ends, what is
// in flight is cut off.
func Run(stop, cut context.Context, options Options) (err error) {
	books, err := openBooks(&options)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, books.close()) }()
	node, err := control.New(control.Options{
		Process:  options.Process,
		Log:      options.Log,
		Listener: options.Control,
		Ledger:   books.store(),
	})
	if err != nil {
		return errors.Wrap(err, "control")
	}
	books.answerReports(node)
	running, end := context.WithCancel(context.Background())
	defer end()
	group, ctx := errgroup.WithContext(running)
	group.Go(func() error { return node.Run(ctx) })
	group.Go(func() error {
		defer end() // control goes last: draining needs it
		return runTraffic(ctx, stop, cut, &options, node, books)
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runTraffic serves callers once the control group has confirmed this instance,
// since only then its incarnation is settled. Until then its port is closed,
// which tells callers that nothing was run.
func runTraffic(ctx, stop, cut context.Context, options *Options, node *control.Node, books *books) error {
	if !awaitLease(ctx, stop, node) {
		return ctx.Err()
	}
	books.begin(ctx, node)
	server, err := newServer(options, node, books)
	if err != nil {
		return err
	}
	listener, err := listenTraffic(options)
	if err != nil {
		return err
	}
	eventServing.Log(options.Log, event.Fields{"address": listener.Addr().String()})
	group, ctx := errgroup.WithContext(ctx)
	copying, stopCopying := context.WithCancel(ctx)
	group.Go(func() error { return errors.Wrap(server.Serve(listener), "serve callers") })
	group.Go(func() error { return stateDemands(copying, node, server) })
	group.Go(func() error { return books.copy(copying) })
	group.Go(func() error {
		books.reports.RunMerges(copying)
		return nil
	})
	group.Go(func() error {
		defer stopCopying()
		return shutDown(ctx, stop, cut, options, server)
	})
	return group.Wait()
}

// awaitLease waits for the first lease and reports whether it came before stop.
func awaitLease(ctx, stop context.Context, node *control.Node) bool {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		if view := node.View(); view != nil && !view.LeaseUntil.IsZero() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-stop.Done():
			return false
		case <-ticker.C:
		}
	}
}

func newServer(options *Options, node *control.Node, books *books) (*entry.Server, error) {
	owner := func() string { return entry.OwnerOf(options.Process.Name, node.View().Incarnation) }
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	server, err := entry.New(entry.Options{
		Process:    options.Process,
		Plane:      node,
		Dispatcher: dispatch.New(dispatch.Config{}, random),
		Recorder:   books.account,
		Client:     client.New(nil, options.Process.EngineKey, owner, client.DefaultTiming),
		Metrics:    metrics.Handler(books.metrics(node)),
		Burn:       books.reports.BurnHandler(options.Process.OperatorKeys),
		Log:        options.Log,
		Clock:      clock.Real{},
	})
	return server, errors.Wrap(err, "caller side")
}

func listenTraffic(options *Options) (net.Listener, error) {
	if options.Traffic != nil {
		return options.Traffic, nil
	}
	listener, err := net.Listen("tcp", options.Process.Listen)
	return listener, errors.Wrap(err, "listen for callers")
}

// stateDemands tells control what this instance saw of each organisation.
func stateDemands(ctx context.Context, node *control.Node, server *entry.Server) error {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := node.SetDemand(ctx, server.Demands()); err != nil && ctx.Err() == nil {
			return errors.Wrap(err, "state demands")
		}
	}
}

// shutDown waits for stop and leaves gracefully.
func shutDown(ctx, stop, cut context.Context, options *Options, server *entry.Server) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stop.Done():
	}
	bounded, cancel := context.WithTimeout(cut, options.Process.DrainTimeout)
	defer cancel()
	return server.Shutdown(bounded)
}
