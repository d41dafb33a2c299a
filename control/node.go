package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"celeryport/clock"
	"celeryport/departure"
	"celeryport/order"
	"celeryport/quarantine"
	"celeryport/rpc"
	"celeryport/upstream"
	"celeryport/verdict"
	"celeryport/wal"
)

// Node is the control side of an instance. It implements Plane and Operations. One
// goroutine, started by Run, owns the core with all control state; other goroutines submit
// tasks to it and read the published views.
type Node struct {
	opts     Options
	log      logrus.FieldLogger
	clock    clock.Clock
	clients  *rpc.Clients
	handlers map[string]Handler

	initialTree []byte // initial settings tree, for a group that has never accepted one

	view       atomic.Pointer[View]
	issuer     atomic.Pointer[order.Issuer] // nil unless this instance issues engine orders
	orders     *order.Driver
	claimVoter *claimVoter // nil on an instance that is not a voter
	claimGroup atomic.Pointer[claimGroup]
	wonClaims  wonClaims
	settling   atomic.Int64 // claims whose outcome or release is being sent
	urgentSync chan struct{}
	messages   chan task // consensus messages, which take precedence over other tasks
	tasks      chan task
	awaited    chan struct{} // closed when the data folder has been read; until then core is nil. nil: New has read it
	started    chan struct{} // closed when the control address is open and the node takes part
	stopped    chan struct{} // closed when the control goroutine has ended
	parsed     parseCache
	refused    refusedAnnouncements
	evidence   chan quarantine.Evidence // not yet gathered into a report
	departing  chan departing           // not yet sent to the leader
	core       *core                    // owned by the control goroutine
	traffic    SyncTraffic

	refusedConnections atomic.Int64
	waitingDepartures  atomic.Int64 // upstreams that wait until their departure is stored
}

// task is work for the control goroutine.
type task func(now time.Time)

// taskQueue limits the tasks queued for the control goroutine. When it is full, senders
// block, so a stalled disk slows them down without using memory.
const taskQueue = 1024

// messageQueue limits the queued batches of consensus messages. Consensus resends lost
// messages, so excess ones are dropped.
const messageQueue = 64

// postMessages submits consensus messages to the control goroutine without blocking.
func (n *Node) postMessages(t task) {
	select {
	case n.messages <- t:
	default:
	}
}

// errStopped is returned by calls on a node that has stopped.
var errStopped = verdict.Refuse(verdict.ReasonDraining, 0, "control has stopped")

// New creates a node: it opens the data folder and loads the installed settings. Run
// starts it. If the folder can't be opened for a reason that may pass, Run waits for it; until
// then the view is empty, and the incarnation is not known.
func New(opts Options) (*Node, error) {
	if opts.Process == nil || opts.Log == nil {
		return nil, errors.New("control needs process settings and a log")
	}
	n := &Node{
		opts:       opts.withDefaults(),
		log:        opts.Log,
		handlers:   map[string]Handler{},
		messages:   make(chan task, messageQueue),
		tasks:      make(chan task, taskQueue),
		started:    make(chan struct{}),
		stopped:    make(chan struct{}),
		urgentSync: make(chan struct{}, 1),
		evidence:   make(chan quarantine.Evidence, maxEvidence),
		departing:  make(chan departing, maxDepartures),
		refused:    refusedAnnouncements{logged: rate.Sometimes{Interval: refusedLogInterval}},
	}
	n.clock = n.opts.Clock
	n.parsed.read = n.opts.Parse
	n.clients = rpc.NewClients(opts.Process.InstanceKey, opts.Dial)
	var err error
	if n.initialTree, err = n.opts.readInitialTree(); err != nil {
		return nil, err
	}
	n.orders = n.newOrders()
	n.registerCommands()
	answered := wal.LogHang(n.log, n.opts.Process.DataFolder)
	err = n.openCore()
	answered()
	if err == nil {
		return n, nil
	}
	if !wal.MayPass(err) {
		wal.LogUnusable(n.log, n.opts.Process.DataFolder, err)
		return nil, err
	}
	n.awaited = make(chan struct{})
	n.view.Store(&View{Upstreams: upstream.NewRegistry(n.opts.Timing.Fresh).Snapshot(n.clock.Now())})
	return n, nil
}

// Started returns a channel that is closed when the control address is open and the node takes part
// in control. Before that, Run waits for what it needs.
func (n *Node) Started() <-chan struct{} { return n.started }

// RefusedConnections returns how many connections to the control address were refused because too
// many were open.
func (n *Node) RefusedConnections() int64 { return n.refusedConnections.Load() }

// View implements Plane.
func (n *Node) View() *View { return n.view.Load() }

// Announce implements Plane. It does not block: while the control goroutine is stalled,
// announcements are dropped; upstreams repeat them every second.
func (n *Node) Announce(a upstream.Announcement) {
	if err := n.checkTargets(&a); err != nil {
		n.RefuseAnnouncement(a.Name, err)
		return
	}
	select {
	case n.tasks <- func(now time.Time) { n.core.receiveAnnouncement(now, a) }:
	default:
	}
}

// AnnounceAndWait submits an announcement and returns when it holds for the fleet: when the leader has it, or, for an
// upstream that leaves, when a majority of the voters has stored that.
func (n *Node) AnnounceAndWait(ctx context.Context, a upstream.Announcement) error {
	if err := n.do(ctx, func(now time.Time) { n.core.receiveAnnouncement(now, a) }); err != nil {
		return err
	}
	if a.Leaving {
		return n.storeDeparture(ctx, departure.Departure{Name: a.Name, Incarnation: a.Incarnation})
	}
	return n.propagate(ctx)
}

// Leave marks an incarnation of an upstream as leaving, at the upstream's own request, and
// returns like AnnounceAndWait; upstream.UnknownIncarnation stands for the incarnation known
// here or to the leader. An upstream that neither knows may yet be known to another instance or
// announce itself late, so its departure is stored all the same. A request for an earlier
// incarnation has no effect.
func (n *Node) Leave(ctx context.Context, name string, incarnation uint64) error {
	var known upstream.Announcement
	var found bool
	err := n.do(ctx, func(time.Time) { known, found = n.core.known.Find(name) })
	if err != nil {
		return err
	}
	if !found {
		return n.storeDeparture(ctx, departure.Departure{Name: name, Incarnation: incarnation})
	}
	if incarnation > upstream.UnknownIncarnation && incarnation < known.Incarnation {
		return nil
	}
	if incarnation > known.Incarnation {
		known.Incarnation, known.Sequence = incarnation, 0
	}
	known.Leaving = true
	known.Sequence++
	return n.AnnounceAndWait(ctx, known)
}

// Handle implements Operations.
func (n *Node) Handle(command string, h Handler) { n.handlers[command] = h }

// Traffic returns the counters of the calls that this node made to other instances.
func (n *Node) Traffic() *rpc.Stats { return n.clients.Stats() }

// Drain implements Plane. It hands over the leadership if this instance holds it, and
// returns when a leader has acknowledged the draining.
//
// An instance that still waits for its data folder has no incarnation that another one could
// know.
func (n *Node) Drain(ctx context.Context) error {
	if !n.isOpen() {
		return nil
	}
	if err := n.do(ctx, func(now time.Time) { n.core.drain(now) }); err != nil {
		return err
	}
	return n.propagate(ctx)
}

// do runs a task on the control goroutine and waits until it has finished.
func (n *Node) do(ctx context.Context, t task) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		t(now)
	}
	if err := n.post(ctx, wrapped); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return errStopped
	}
}

// post submits a task to the control goroutine without waiting until it has finished.
func (n *Node) post(ctx context.Context, t task) error {
	if !n.isOpen() {
		select {
		case <-n.awaited:
		case <-n.stopped:
			return errStopped
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonStorageFailed, "the data folder could not be opened yet")
		}
	}
	select {
	case n.tasks <- t:
		return nil
	case <-n.stopped:
		return errStopped
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonTimeout, "control is busy")
	}
}
