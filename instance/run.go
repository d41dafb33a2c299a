package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/connlimit"
	"celeryport/control"
	"celeryport/dispatch"
	"celeryport/entry"
	"celeryport/metrics"
	"celeryport/quota"
	"celeryport/supervise"
	"celeryport/upstream/client"
	"celeryport/wal"
)

const (
	demandInterval = 500 * time.Millisecond // interval of demand reports to control
	leaveTimeout   = 4 * time.Second        // for control to leave the group and to finish the calls of other instances
	copyTimeout    = 5 * time.Second        // for the last copy of the ledger
	leaseInterval  = 20 * time.Millisecond  // polling interval for the first lease
)

// completions is an instance that serves completions.
type completions struct {
	options *Options
	limits  connlimit.Limits
	parts   *ledgerParts
	node    *control.Node
	server  *entry.Server
	callers callersAddress
}

// Run runs an instance. When stop is done, the instance shuts down gracefully. Calls that are still
// in progress when the drain timeout of the settings has passed are cut off.
func Run(stop context.Context, options Options) error {
	p := new(*options.Process)
	options.Process = p
	applyMemoryBounds(defaultKernelFiles, p.MemoryLimit, options.Log)
	limits := connectionLimits(p, options.Log)
	p.MaxConnections = limits.Callers
	c := &completions{options: &options, limits: limits}
	c.callers = callersAddress{log: options.Log, address: p.Listen, listener: options.Traffic}
	run := life{
		log:       options.Log,
		address:   p.Listen,
		serves:    string(p.Serves),
		start:     c.start,
		stopLimit: p.DrainTimeout + leaveTimeout + copyTimeout,
	}
	return run.run(stop)
}

// start serves callers once the control group has confirmed this instance, because its
// incarnation may change until then. Before that, its port is closed, which shows callers
// that none of their requests was run.
func (c *completions) start(ctx context.Context, group *supervise.Group) error {
	var err error
	if c.parts, err = construct(ctx, func() (*ledgerParts, error) { return openLedger(ctx, c.options, wal.OS{}) }); err != nil {
		return err
	}
	group.Start(supervise.Component{Name: "ledger", Kind: supervise.Essential, Run: waitUntilDone, Stop: func(context.Context) error {
		return c.parts.close()
	}})
	if c.node, err = construct(ctx, c.newNode); err != nil {
		return errors.Wrap(err, "control")
	}
	c.parts.registerReports(c.node)
	group.Start(supervise.Component{Name: "control", Kind: supervise.Essential, Run: c.node.Run, StopTimeout: leaveTimeout})
	if !awaitLease(ctx, c.node) {
		return ctx.Err()
	}
	c.parts.openAccount(ctx, c.node)
	if c.server, err = newServer(c.options, c.node, c.parts); err != nil {
		return err
	}
	if err := c.callers.open(ctx); err != nil {
		return err
	}
	c.startComponents(group)
	return nil
}

// waitUntilDone is the Run of a component that works for others only.
func waitUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (c *completions) newNode() (*control.Node, error) {
	return control.New(control.Options{
		Process:     c.options.Process,
		Log:         c.options.Log,
		Listener:    c.options.Control,
		Connections: c.limits.Control,
		Ledger:      c.parts.store(),
	})
}

// startComponents starts what serves callers and reports about it.
func (c *completions) startComponents(group *supervise.Group) {
	group.Start(supervise.Component{Name: "report merges", Kind: supervise.Reopened, Run: func(ctx context.Context) error {
		c.parts.reports.RunMerges(ctx)
		return nil
	}})
	group.Start(supervise.Component{Name: "ledger copies", Kind: supervise.Essential, Run: c.parts.runCopier, StopTimeout: copyTimeout})
	group.Start(supervise.Component{Name: "demands", Kind: supervise.Reopened, Run: func(ctx context.Context) error {
		return reportDemands(ctx, c.node, demandInterval, c.server.Demands)
	}})
	group.Start(supervise.Component{
		// Essential: the server can't serve a second listener.
		Name: "callers", Kind: supervise.Essential, Run: c.serveCallers, Stop: c.shutDown,
		StopTimeout: c.options.Process.DrainTimeout + supervise.DefaultStopTimeout,
	})
}

func (c *completions) serveCallers(ctx context.Context) error {
	return c.callers.serve(ctx, c.server.Serve)
}

// shutDown drains the server.
func (c *completions) shutDown(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, c.options.Process.DrainTimeout)
	defer cancel()
	return c.server.Shutdown(bounded)
}

// awaitLease waits for the first lease and reports whether it was granted before ctx ended.
func awaitLease(ctx context.Context, node *control.Node) bool {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		if view := node.View(); view != nil && !view.LeaseUntil.IsZero() {
			return true
		}
		select {
		case <-ctx.Done():
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

		CountOutlier: parts.outliers.Count,

		Burn:  parts.reports.BurnHandler(options.Process.OperatorKeys),
		Log:   options.Log,
		Clock: clock.Real{},
	})
	return server, errors.Wrap(err, "caller side")
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
