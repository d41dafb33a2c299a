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
	"celeryport/quota"
	"celeryport/upstream/client"
	"celeryport/wal"
)

const (
	demandInterval = 500 * time.Millisecond // interval of demand reports to control
	leaseInterval  = 20 * time.Millisecond  // polling interval for the first lease
)

// Run runs an instance. When stop is done, the instance shuts down gracefully. The shutdown
// ends when hardStop is done or the drain timeout of the settings has passed; calls that are
// still in progress are then cut off.
func Run(stop, hardStop context.Context, options Options) (err error) {
	applyMemoryBounds(defaultKernelFiles, options.Process.MemoryLimit, options.Log)
	parts, err := openLedger(stop, &options, wal.OS{})
	if errors.Is(err, context.Canceled) {
		return nil // stopped while another process still used the folder, or the disk was full
	}
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, parts.close()) }()
	limits := connectionLimits(options.Process)
	process := *options.Process
	process.MaxConnections = limits.Callers
	options.Process = &process
	node, err := control.New(control.Options{
		Process:     options.Process,
		Log:         options.Log,
		Listener:    options.Control,
		Ledger:      parts.store(),
		Connections: limits.Control,
	})
	if err != nil {
		return errors.Wrap(err, "control")
	}
	parts.registerReports(node)
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(running)
	group.Go(func() error { return node.Run(ctx) })
	group.Go(func() error {
		defer cancel() // control stops last because draining needs it
		return runTraffic(ctx, stop, hardStop, &options, node, parts)
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runTraffic serves callers once the control group has confirmed this instance, because its
// incarnation may change until then. Before that, its port is closed, which shows callers
// that none of their requests was run.
func runTraffic(ctx, stop, hardStop context.Context, options *Options, node *control.Node, parts *ledgerParts) error {
	if !awaitLease(ctx, stop, node) {
		return ctx.Err()
	}
	parts.openAccount(ctx, node)
	server, err := newServer(options, node, parts)
	if err != nil {
		return err
	}
	listener, err := listenTraffic(options)
	if err != nil {
		return err
	}
	eventServing.Log(options.Log, event.Fields{"address": listener.Addr().String()})
	group, ctx := errgroup.WithContext(ctx)
	copyContext, stopCopying := context.WithCancel(ctx)
	group.Go(func() error { return errors.Wrap(server.Serve(listener), "serve callers") })
	group.Go(func() error { return reportDemands(copyContext, node, demandInterval, server.Demands) })
	group.Go(func() error { return parts.runCopier(copyContext) })
	group.Go(func() error {
		parts.reports.RunMerges(copyContext)
		return nil
	})
	group.Go(func() error {
		defer stopCopying()
		return shutDown(ctx, stop, hardStop, options, server)
	})
	return group.Wait()
}

// awaitLease waits for the first lease and reports whether it was granted before stop.
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

func newServer(options *Options, node *control.Node, parts *ledgerParts) (*entry.Server, error) {
	owner := func() string { return entry.OwnerOf(options.Process.Name, node.View().Incarnation) }
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	server, err := entry.New(entry.Options{
		Process:    options.Process,
		Plane:      node,
		Dispatcher: dispatch.New(dispatch.Config{}, random),
		Recorder:   parts.account,
		Client:     client.New(nil, options.Process.EngineKey, owner, client.DefaultTiming),
		Metrics:    metrics.Handler(parts.metrics(node)),
		Burn:       parts.reports.BurnHandler(options.Process.OperatorKeys),
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

// reportDemands periodically reports the demand of each organisation at this instance to
// control.
func reportDemands(ctx context.Context, node *control.Node, interval time.Duration, demands func() []quota.Demand) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := node.SetDemand(ctx, demands()); err != nil && ctx.Err() == nil {
			return errors.Wrap(err, "state demands")
		}
	}
}

// shutDown waits for stop, then shuts the server down gracefully.
func shutDown(ctx, stop, hardStop context.Context, options *Options, server *entry.Server) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stop.Done():
	}
	bounded, cancel := context.WithTimeout(hardStop, options.Process.DrainTimeout)
	defer cancel()
	return server.Shutdown(bounded)
}
