package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"celeryport/clock"
	"celeryport/order"
	"celeryport/quarantine"
	"celeryport/rpc"
	"celeryport/upstream"
	"celeryport/verdict"
)

// Node is the control side of one instance. It implements Plane and
// Operations. One goroutine, started by Run, owns the core with all control
// state; the others hand it tasks and read published views.
type Node struct {
	opts       Options
	log        logrus.FieldLogger
	clock      clock.Clock
	clients    *rpc.Clients
	handlers   map[string]Handler
	view       atomic.Pointer[View]
	issuer     atomic.Pointer[order.Issuer] // nil unless this instance issues engine orders
	orders     *order.Driver
	claimVoter *claimVoter // nil on an instance that is no voter
	claimGroup atomic.Pointer[claimGroup]
	wonClaims  wonClaims
	kick       chan struct{}
	messages   chan task // of consensus, which go before all other tasks
	tasks      chan task
	stopped    chan struct{} // closed when the control goroutine has ended
	parsed     parsedText
	refused    refusedAnnouncements
	evidence   chan quarantine.Evidence // not yet gathered for a report
	core       *core                    // owned by the control goroutine
}

// task is work for the control goroutine.
type task func(now time.Time)

// taskQueue bounds the tasks that wait for the control goroutine; above it the
// senders wait, so that a stalled disk slows them and costs no memory.
const taskQueue = 1024

// messageQueue bounds the batches of consensus messages that wait. Consensus repeats
// what is lost, so what comes above it is dropped.
const messageQueue = 64

// postMessages hands messages of consensus to the control goroutine without waiting.
func (n *Node) postMessages(t task) {
	select {
	case n.messages <- t:
	default:
	}
}

// errStopped ends calls on a node that does not run any more.
var errStopped = verdict.Refuse(verdict.ReasonDraining, 0, "control has stopped")

// New prepares a node: it opens the data folder and loads what was installed
// before. Run starts it.
func New(opts Options) (*Node, error) {
	if opts.Process == nil || opts.Log == nil {
		return nil, errors.New("control needs process settings and a log")
	}
	n := &Node{
		opts:     opts.withDefaults(),
		log:      opts.Log,
		handlers: map[string]Handler{},
		messages: make(chan task, messageQueue),
		tasks:    make(chan task, taskQueue),
		stopped:  make(chan struct{}),
		kick:     make(chan struct{}, 1),
		evidence: make(chan quarantine.Evidence, mostEvidence),
		refused:  refusedAnnouncements{logged: rate.Sometimes{Interval: refusedLogInterval}},
	}
	n.clock = n.opts.Clock
	n.parsed.read = n.opts.Parse
	n.clients = rpc.NewClients(opts.Process.InstanceKey, opts.Dial)
	core, err := newCore(n)
	if err != nil {
		return nil, err
	}
	n.core = core
	n.orders = n.newOrders()
	n.core.publish(n.clock.Now())
	n.registerCommands()
	return n, nil
}

// View implements Plane.
func (n *Node) View() *View { return n.view.Load() }

// Announce implements Plane. It does not wait: while the control goroutine is
// stalled an announcement is dropped, and the next one comes within a second.
func (n *Node) Announce(a upstream.Announcement) {
	if err := n.checkTargets(&a); err != nil {
		n.RefuseAnnouncement(a.Name, err)
		return
	}
	select {
	case n.tasks <- func(now time.Time) { n.core.hear(now, a) }:
	default:
	}
}

// AnnounceSurely hands in an announcement and returns when the leader has it, so
// that what the upstream is told holds on every instance: of one that leaves,
// the leader tells all the others at once.
func (n *Node) AnnounceSurely(ctx context.Context, a upstream.Announcement) error {
	if err := n.do(ctx, func(now time.Time) { n.core.hear(now, a) }); err != nil {
		return err
	}
	return n.passOn(ctx)
}

// Leave takes an incarnation of an upstream out of service on its own word, and
// returns when the leader has told the others; upstream.Unstated means the one that is
// known. One that is not known here is unknown everywhere, or will be heard of as
// leaving from whoever knows it. A former start has nothing left to take away.
func (n *Node) Leave(ctx context.Context, name string, incarnation uint64) error {
	var known upstream.Announcement
	var found bool
	err := n.do(ctx, func(time.Time) { known, found = n.core.known.Find(name) })
	if err != nil || !found {
		return err
	}
	if incarnation > upstream.Unstated && incarnation < known.Incarnation {
		return nil
	}
	if incarnation > known.Incarnation {
		known.Incarnation, known.Sequence = incarnation, 0
	}
	known.Leaving = true
	known.Sequence++
	return n.AnnounceSurely(ctx, known)
}

// Handle implements Operations.
func (n *Node) Handle(command string, h Handler) { n.handlers[command] = h }

// Traffic returns the counters of the calls that this node made to others.
func (n *Node) Traffic() *rpc.Stats { return n.clients.Stats() }

// Drain implements Plane: it hands over the leadership if this instance holds it,
// and tells the leader until one has taken it in.
func (n *Node) Drain(ctx context.Context) error {
	if err := n.do(ctx, func(now time.Time) { n.core.drain(now) }); err != nil {
		return err
	}
	return n.passOn(ctx)
}

// do runs a task on the control goroutine and waits for its end.
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

// post hands a task to the control goroutine without waiting for its end.
func (n *Node) post(ctx context.Context, t task) error {
	select {
	case n.tasks <- t:
		return nil
	case <-n.stopped:
		return errStopped
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonTimeout, "control is busy")
	}
}
