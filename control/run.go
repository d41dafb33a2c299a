package control

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"celeryport/binding"
	"celeryport/bodylimit"
	"celeryport/connlimit"
	"celeryport/event"
	"celeryport/resilient"
	"celeryport/rpc"
)

const (
	leaveAttempts  = 2 // the second one after a redirect
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	maxWait        = time.Second // longest sleep of the control goroutine
)

// Run serves the control address and drives the node until ctx is done or a component
// fails. While the address can't be bound, the node only runs tasks: it sends nothing, so that
// others don't take it for an instance that they can reach. The error is a *binding.Refusal if
// the address can't be used at all.
//
// It first waits for the data folder, if New could not open it.
func (n *Node) Run(outer context.Context) error {
	defer n.clients.Close()
	if err := n.awaitCore(outer); err != nil {
		return endOf(outer, err)
	}
	inner, end := context.WithCancel(context.WithoutCancel(outer))
	defer end()
	group, ctx := errgroup.WithContext(inner)
	listening := make(chan struct{})
	group.Go(func() error { return n.runCore(ctx, listening) })
	listener, err := n.listen(outer)
	if err != nil {
		end()
		return endOf(outer, errors.CombineErrors(err, group.Wait()))
	}
	close(listening)
	server := n.server()
	eventStarted.Log(n.log, event.Fields{
		"name":        n.opts.Process.Name,
		"incarnation": n.core.self.Incarnation,
		"address":     listener.Addr().String(),
		"voter":       n.opts.Process.Voter,
	})
	close(n.started)
	group.Go(func() error { return n.serve(server, listener) })
	group.Go(func() error { return n.runFounding(ctx) })
	if n.claimVoter != nil {
		group.Go(func() error { return n.claimVoter.run(ctx) })
	}
	group.Go(func() error { return n.runSync(ctx) })
	group.Go(func() error { return n.runRemember(ctx) })
	group.Go(func() error { return n.runEvidence(ctx) })
	group.Go(func() error { return n.runDepartures(ctx) })
	group.Go(func() error { return n.orders.Run(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-outer.Done():
			n.leaveSettled(ctx)
		}
		end()
		return n.shutdown(server)
	})
	return endOf(outer, group.Wait())
}

// endOf returns the error of a component, or nil if the node was asked to stop.
func endOf(outer context.Context, err error) error {
	if outer.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	if n.opts.Listener != nil {
		return resilient.NewListener(n.log, "control", n.opts.Listener), nil
	}
	return binding.TCP(ctx, n.log, "control", n.opts.Process.ControlListen)
}

func (n *Node) server() *http.Server {
	keys := rpc.Keys{Instance: n.opts.Process.InstanceKey, Operators: n.opts.Process.OperatorKeys}
	own := http.NewServeMux()
	own.Handle("/", rpc.Authenticate(keys, rpc.NewControlServer(&service{node: n})))
	if n.opts.Transit != nil {
		own.Handle(rpc.TransitPath, rpc.AuthenticateTransit(keys, n.opts.Transit))
	}
	return &http.Server{
		Handler:           bodylimit.Handler(n.withExtra(own), bodylimit.Limit{Bytes: rpc.MaxMessageBytes, Time: bodyTimeout}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// withExtra routes the paths of Options.Extra to it and all others to the calls between
// instances.
func (n *Node) withExtra(own http.Handler) http.Handler {
	if n.opts.Extra == nil {
		return own
	}
	extra := connlimit.StateIdle(n.opts.Extra) // instances keep their connections without a statement
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, n.opts.ExtraAt) {
			extra.ServeHTTP(w, r)
			return
		}
		own.ServeHTTP(w, r)
	})
}

func (n *Node) serve(server *http.Server, listener net.Listener) error {
	idle := connlimit.NewIdle()
	server.ConnState = idle.Track
	err := server.Serve(connlimit.New(listener, connlimit.Options{
		Limit: n.opts.Connections, Log: n.log, Refused: func() { n.refusedConnections.Add(1) }, Idle: idle,
	}))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	eventServeFailed.Log(n.log, event.Fields{"error": err})
	return errors.Wrap(err, "serve the control address")
}

// shutdown waits for the open calls to end. The leader holds long polls for at most
// Timing.Sync, so the limit of twice Timing.Leave is rarely reached.
func (n *Node) shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*n.opts.Timing.Leave)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		return server.Close()
	}
	return nil
}

// leaveSettled leaves the group and gives the outcomes of claims that are being sent the rest of the time
// for it: the keys of those that do not arrive stay held.
func (n *Node) leaveSettled(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.Timing.Leave)
	defer cancel()
	n.leave(ctx)
	n.awaitSettled(ctx)
}

// leave notifies the leader that this instance no longer admits requests, so that nobody
// waits for its lease. If the message is lost, the lease expires.
func (n *Node) leave(ctx context.Context) {
	if n.do(ctx, func(time.Time) { n.core.markGone() }) != nil {
		return
	}
	for range leaveAttempts {
		if n.syncOnce(ctx, 0) == nil {
			return
		}
	}
}

// runCore is the control goroutine, the only one that uses the core. The core takes no step
// before the control address is open.
func (n *Node) runCore(ctx context.Context, listening <-chan struct{}) error {
	defer close(n.stopped)
	defer n.core.close()
	if err := n.runTasksUntil(ctx, listening); err != nil {
		return err
	}
	return n.loop(ctx)
}

func (n *Node) runTasksUntil(ctx context.Context, listening <-chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-listening:
			return nil
		case t := <-n.tasks:
			t(n.clock.Now())
		}
	}
}

// loop takes the steps of the core and runs tasks until ctx is done or a step fails.
func (n *Node) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case t := <-n.messages:
			t(n.clock.Now())
			n.drainMessages()
		case t := <-n.tasks:
			n.drainMessages()
			t(n.clock.Now())
			n.drainTasks()
		case <-timer.C:
			n.drainMessages() // a heartbeat that waits here is no missing one
		}
		next, err := n.core.step(n.clock.Now())
		if err != nil {
			return err
		}
		timer.Reset(min(maxWait, max(0, next.Sub(n.clock.Now()))))
	}
}

// tasksPerStep limits the tasks run between two steps of consensus. One sync of the log
// covers everything they propose. A heartbeat waits for at most this many tasks: queued
// behind all messages that a fleet sends when it starts, it would be delayed by more than
// an election timeout, and the group would change its leader needlessly.
const tasksPerStep = 16

// drainTasks runs further queued tasks.
func (n *Node) drainTasks() {
	for range min(tasksPerStep, len(n.tasks)) {
		if len(n.messages) > 0 {
			return
		}
		t := <-n.tasks
		t(n.clock.Now())
	}
}

// drainMessages runs all queued consensus messages.
func (n *Node) drainMessages() {
	for range len(n.messages) {
		t := <-n.messages
		t(n.clock.Now())
	}
}
