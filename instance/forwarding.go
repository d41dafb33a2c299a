package instance

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"celeryport/clock"
	"celeryport/connlimit"
	"celeryport/consensus"
	"celeryport/control"
	"celeryport/forward"
	"celeryport/forward/telemetry"
	"celeryport/membership"
	"celeryport/resend"
	"celeryport/settings"
	"celeryport/supervise"
)

// forwarding is an instance that forwards calls, or that only takes part in control.
type forwarding struct {
	options *Options
	memory  int64 // limit on the memory of the process in bytes; 0: unknown
	limits  connlimit.Limits
	metrics *prometheus.Registry
	node    *control.Node
	server  atomic.Pointer[forward.Server] // nil until the addresses are open, or if the instance takes no calls
	callers callersAddress
	loads   loadsAddress
	control controlListener

	finished chan struct{} // closed when no call is under way any more after the drain
}

// RunForwarding runs an instance that forwards calls or only takes part in control. When
// stop is done, the instance shuts down gracefully, within the drain timeout of the settings.
func RunForwarding(stop context.Context, options Options) error {
	p := options.Process
	f := &forwarding{
		options: &options,
		memory:  applyMemoryBounds(defaultKernelFiles, p.MemoryLimit, options.Log),
		limits:  connectionLimits(p, options.Log),
		metrics: newProcessRegistry(options.Collectors),

		finished: make(chan struct{}),
	}
	f.callers = callersAddress{log: options.Log, address: p.Listen, listener: options.Traffic}
	f.loads = loadsAddress{log: options.Log, address: p.ControlListen, share: func(ctx context.Context, conn net.PacketConn) error {
		return f.server.Load().ShareLoads(ctx, conn)
	}}
	f.control = controlListener{options.Control}
	run := life{
		log:       options.Log,
		address:   p.Listen,
		serves:    string(p.Serves),
		start:     f.start,
		stopLimit: stopLimit(p),
	}
	return run.run(stop)
}

// start starts the components in phases. Control announces the instance to the others, so it starts
// only once callers can reach the instance; and callers are served once control has started.
func (f *forwarding) start(ctx context.Context, group *supervise.Group) error {
	p := f.options.Process
	if p.Metrics != "" {
		group.Start(f.auxiliary("metrics", p.Metrics, f.limits.Probes, promhttp.HandlerFor(f.metrics, promhttp.HandlerOpts{})))
	}
	if f.takesCalls() && p.Readiness != "" {
		group.Start(f.auxiliary("readiness", p.Readiness, f.limits.Probes, f.readiness()))
	}
	if f.takesCalls() { // stopped after control: calls under way go on while the instance leaves the group
		group.Start(supervise.Component{
			Name: "calls under way", Kind: supervise.Essential, Run: waitUntilDone, Stop: f.finish, StopTimeout: stopLimit(p),
		})
	}
	var err error
	if f.node, err = construct(ctx, f.newNode); err != nil {
		return errors.Wrap(err, "control")
	}
	f.registerMetrics()
	if f.takesCalls() {
		if err := f.openAddresses(ctx); err != nil {
			return err
		}
	}
	group.Start(supervise.Component{
		Name: "control", Kind: supervise.Essential, Run: f.node.Run, Stop: f.leaveAlone, StopTimeout: 2 * announceTimeout,
	})
	select {
	case <-f.node.Started():
	case <-ctx.Done():
	}
	if err := ctx.Err(); err != nil {
		f.callers.close()
		f.loads.close()
		return err // control closes its own address
	}
	f.startComponents(group)
	return nil
}

// startComponents starts what serves others. It is stopped in reverse order: control last because
// draining needs it.
func (f *forwarding) startComponents(group *supervise.Group) {
	p := f.options.Process
	group.Start(supervise.Component{Name: "settings", Kind: supervise.Reopened, Run: f.followSettings})
	if p.Directory != "" {
		group.Start(f.auxiliary("directory", p.Directory, f.limits.Directory, f.options.Adapter.Directory(f.addresses, directoryCacheTime)))
	}
	if !f.takesCalls() {
		return
	}
	f.server.Store(f.newServer())
	group.Start(f.loads.component())
	if p.OrganisationShares {
		group.Start(supervise.Component{Name: "demands", Kind: supervise.Reopened, Run: func(ctx context.Context) error {
			return reportDemands(ctx, f.node, shareInterval, f.server.Load().Demands)
		}})
	}
	group.Start(supervise.Component{
		Name: "callers", Kind: supervise.Reopened, Open: f.callers.open, Run: f.serveCallers, Stop: f.drain,
		StopTimeout: closeLimit(p),
	})
}

func (f *forwarding) serveCallers(ctx context.Context) error {
	return f.callers.serve(ctx, f.server.Load().Serve)
}

func (f *forwarding) takesCalls() bool { return f.options.Process.Serves == settings.ServesForwarding }

func (f *forwarding) newNode() (*control.Node, error) {
	p := f.options.Process
	heal := 0
	if p.Voter && p.ToleratedLosses > 0 {
		heal = 2*p.ToleratedLosses + 1
	}
	adapter := f.options.Adapter
	var controlHandler, transitHandler http.Handler
	listener := f.options.Control
	if f.takesCalls() {
		listener = &f.control
		transitHandler = http.HandlerFunc(f.serveTransit)
	}
	node, err := control.New(control.Options{
		Process:     p,
		Log:         f.options.Log,
		Clock:       clock.NewBoot(),
		Listener:    listener,
		Connections: f.limits.Control,
		Parse:       adapter.Parse,
		Timing:      forwardingTiming(p),
		Heal:        heal,
		FanOut:      true,
		Transit:     transitHandler,
		ExtraAt:     adapter.ControlPrefix,
		Extra:       http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { controlHandler.ServeHTTP(w, r) }),
	})
	if err != nil {
		return nil, err
	}
	controlHandler = adapter.Control(node)
	return node, nil
}

// serveTransit serves calls that other instances hand over to this one.
func (f *forwarding) serveTransit(w http.ResponseWriter, r *http.Request) {
	server := f.server.Load()
	if server == nil { // control has only just started
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	server.ServeTransit(w, r)
}

func (f *forwarding) registerMetrics() {
	f.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "control_announcements_refused_total",
		Help: "Announcements that name no upstream to use.",
	}, func() float64 { return float64(f.node.RefusedAnnouncements()) }))
	f.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "control_connections_refused_total",
		Help: "Connections to the control address that were refused because too many were open.",
	}, func() float64 { return float64(f.node.RefusedConnections()) }))
	registerTraffic(f.metrics, f.node.SyncTraffic())
}

func (f *forwarding) newServer() *forward.Server {
	p := f.options.Process
	return forward.New(forward.Options{
		Process:     p,
		Plane:       f.node,
		Dialect:     f.options.Adapter.Dialect,
		Metrics:     telemetry.NewMetrics(f.metrics),
		Log:         f.options.Log,
		Dial:        f.options.Dial,
		Budget:      resend.Budget{Ratio: p.RepeatRatio, Slack: p.RepeatSlack, Window: p.RepeatWindow},
		Memory:      f.memory,
		Connections: f.limits.Callers,
	})
}

// forwardingTiming returns the intervals of instances that forward calls.
//
// These instances keep their settings when they lose contact with the control group, so a
// lease only shows that the instance is live: callers must not get the address of an
// instance that stopped more than two seconds ago. A majority confirms reads and changes, so
// a short election timeout costs no more than an occasional additional election, while each
// second without a leader is a second of outdated settings.
func forwardingTiming(p *settings.Process) control.Timing {
	timing := control.DefaultTiming()
	timing.Membership = membership.Timing{Lease: 1500 * time.Millisecond, Margin: 500 * time.Millisecond, Retention: 10 * time.Minute}
	timing.Consensus = consensus.Timing{Heartbeat: 100 * time.Millisecond, ElectionMin: 600 * time.Millisecond, Lease: 450 * time.Millisecond}
	timing.Leave = leaveLimit(p)
	timing.Call = 900 * time.Millisecond
	timing.Fresh = 5 * time.Second // an announcement passes through an instance and two voters before it reaches the others
	return timing
}

// openAddresses opens the addresses at which other instances and callers reach this one, and waits
// for each. That of callers is the last one: a connection that is not served yet makes its caller
// wait, one that is refused doesn't. Those that are open are closed after an error.
func (f *forwarding) openAddresses(ctx context.Context) error {
	err := f.control.open(ctx, f.options.Log, f.options.Process.ControlListen)
	if err == nil {
		err = f.loads.open(ctx)
	}
	if err == nil {
		err = f.callers.open(ctx)
	}
	if err == nil {
		err = ctx.Err() // another address may have been refused meanwhile
	}
	if err != nil {
		f.control.close()
		f.callers.close()
		f.loads.close()
	}
	return err
}

// auxiliary returns a component that serves an address with at most the given number of connections.
func (f *forwarding) auxiliary(purpose, address string, connections int, handler http.Handler) supervise.Component {
	a := &auxiliary{log: f.options.Log, purpose: purpose, address: address, connections: connections, handler: handler}
	return a.component()
}

// shareInterval is the interval of demand reports for organisation shares: three fit into the lease
// of a grant.
const shareInterval = time.Second

// directoryCacheTime is how long callers may cache a list of addresses. Callers use some
// addresses for three times as long, which must end before the shutdown of an instance does.
const directoryCacheTime = 2 * time.Second

// readiness answers whether the instance takes calls.
func (f *forwarding) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if server := f.server.Load(); server == nil || !server.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// followSettings applies process settings that change while the instance runs.
func (f *forwarding) followSettings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-f.options.Changes:
			if err := f.node.SetSeeds(ctx, p.Voters); err != nil && ctx.Err() == nil {
				return errors.Wrap(err, "apply the addresses of the voters")
			}
		}
	}
}

func newProcessRegistry(more []prometheus.Collector) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(more...)
	return registry
}
