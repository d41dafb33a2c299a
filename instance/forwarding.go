package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"celeryport/clock"
	"celeryport/connlimit"
	"celeryport/consensus"
	"celeryport/control"
	"celeryport/event"
	"celeryport/forward"
	"celeryport/membership"
	"celeryport/resend"
	"celeryport/settings"
)

// forwarding is an instance that forwards calls, or that only takes part in control.
type forwarding struct {
	options *Options
	node    *control.Node
	server  *forward.Server // nil if the instance takes no calls
	metrics *prometheus.Registry
	limits  connlimit.Limits
}

// RunForwarding runs an instance that forwards calls or only takes part in control. When
// stop is done, the instance shuts down gracefully. The shutdown ends when hardStop is done
// or the drain timeout of the settings has passed.
func RunForwarding(stop, hardStop context.Context, options Options) error {
	f := &forwarding{options: &options, metrics: newProcessRegistry()}
	if err := f.assemble(); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(running)
	group.Go(func() error { return f.node.Run(ctx) })
	group.Go(func() error { return f.followSettings(ctx) })
	if err := f.listen(ctx, group); err != nil {
		cancel()
		return errors.CombineErrors(err, group.Wait())
	}
	eventServing.Log(options.Log, event.Fields{"address": options.Process.Listen, "serves": options.Process.Serves})
	group.Go(func() error {
		defer cancel() // control stops last because draining needs it
		return f.shutDown(ctx, stop, hardStop)
	})
	err := group.Wait()
	eventStopped.Log(options.Log, event.Fields{"error": err})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (f *forwarding) assemble() error {
	p := f.options.Process
	memory := applyMemoryBounds(defaultKernelFiles, p.MemoryLimit, f.options.Log)
	f.limits = connectionLimits(p)
	heal := 0
	if p.Voter && p.ToleratedLosses > 0 {
		heal = 2*p.ToleratedLosses + 1
	}
	adapter := f.options.Adapter
	var controlHandler, transitHandler http.Handler
	if p.Serves == settings.ServesForwarding {
		transitHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.server.ServeTransit(w, r) })
	}
	node, err := control.New(control.Options{
		Process:     p,
		Log:         f.options.Log,
		Clock:       clock.NewBoot(),
		Parse:       adapter.Parse,
		Timing:      forwardingTiming(),
		Heal:        heal,
		FanOut:      true,
		Connections: f.limits.Control,
		Transit:     transitHandler,
		ExtraAt:     adapter.ControlPrefix,
		Extra:       http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { controlHandler.ServeHTTP(w, r) }),
	})
	if err != nil {
		return errors.Wrap(err, "control")
	}
	controlHandler = adapter.Control(node)
	f.node = node
	f.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "control_announcements_refused_total",
		Help: "Announcements that name no upstream to use.",
	}, func() float64 { return float64(node.RefusedAnnouncements()) }))
	f.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "control_connections_refused_total",
		Help: "Connections to the control address that were refused because too many were open.",
	}, func() float64 { return float64(node.RefusedConnections()) }))
	registerTraffic(f.metrics, node.SyncTraffic())
	if p.Serves == settings.ServesForwarding {
		f.server = forward.New(forward.Options{
			Process:     p,
			Plane:       node,
			Dialect:     adapter.Dialect,
			Metrics:     forward.NewMetrics(f.metrics),
			Log:         f.options.Log,
			Dial:        f.options.Dial,
			Budget:      resend.Budget{Ratio: p.RepeatRatio, Slack: p.RepeatSlack, Window: p.RepeatWindow},
			Memory:      memory,
			Connections: f.limits.Callers,
		})
	}
	return nil
}

// forwardingTiming returns the intervals of instances that forward calls.
//
// These instances keep their settings when they lose contact with the control group, so a
// lease only shows that the instance is live: callers must not get the address of an
// instance that stopped more than two seconds ago. A majority confirms reads and changes, so
// a short election timeout costs no more than an occasional additional election, while each
// second without a leader is a second of outdated settings.
func forwardingTiming() control.Timing {
	timing := control.DefaultTiming()
	timing.Membership = membership.Timing{Lease: 1500 * time.Millisecond, Margin: 500 * time.Millisecond, Retention: 10 * time.Minute}
	timing.Consensus = consensus.Timing{Heartbeat: 100 * time.Millisecond, ElectionMin: 600 * time.Millisecond, Lease: 450 * time.Millisecond}
	timing.Leave = 300 * time.Millisecond // leaving and draining have to end before the process is killed
	timing.Call = 900 * time.Millisecond
	timing.Fresh = 5 * time.Second // an announcement passes through an instance and two voters before it reaches the others
	return timing
}

// listen opens all addresses of the instance.
func (f *forwarding) listen(ctx context.Context, group *errgroup.Group) error {
	p := f.options.Process
	if f.server != nil {
		listener, err := net.Listen("tcp", p.Listen)
		if err != nil {
			return errors.Wrap(err, "listen for callers")
		}
		group.Go(func() error { return errors.Wrap(f.server.Serve(listener), "serve callers") })
		packets, err := net.ListenPacket("udp", p.ControlListen)
		if err != nil {
			return errors.Wrap(err, "listen for the loads of others")
		}
		group.Go(func() error { return f.server.ShareLoads(ctx, packets) })
		if p.OrganisationShares {
			group.Go(func() error { return reportDemands(ctx, f.node, shareInterval, f.server.Demands) })
		}
	}
	handlers := map[string]http.Handler{}
	if p.Readiness != "" && f.server != nil {
		handlers[p.Readiness] = readiness(f.server)
	}
	if p.Directory != "" {
		handlers[p.Directory] = f.options.Adapter.Directory(f.addresses, directoryCacheTime)
	}
	if p.Metrics != "" {
		handlers[p.Metrics] = promhttp.HandlerFor(f.metrics, promhttp.HandlerOpts{})
	}
	for address, handler := range handlers {
		if err := f.serveHTTP(ctx, group, address, handler); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP serves an auxiliary address until ctx ends.
func (f *forwarding) serveHTTP(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: auxiliaryReadTimeout, IdleTimeout: auxiliaryIdleTimeout}
	group.Go(func() error {
		err := server.Serve(f.limitAuxiliary(address, listener))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "serve %s", address)
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// shareInterval is the interval of demand reports for organisation shares: three fit into the lease
// of a grant.
const shareInterval = time.Second

const (
	auxiliaryReadTimeout = 3 * time.Second
	auxiliaryIdleTimeout = 30 * time.Second
	// directoryCacheTime is how long callers may cache a list of addresses. Callers use some
	// addresses for three times as long, which must end before the shutdown of an instance
	// does.
	directoryCacheTime = 2 * time.Second
)

// readiness answers whether the instance takes calls.
func readiness(server *forward.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !server.Ready() {
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
			if err := f.node.SetSeeds(ctx, p.Voters); err != nil {
				return nil //nolint:nilerr // the node has stopped and reports the reason itself
			}
		}
	}
}

func newProcessRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	return registry
}
