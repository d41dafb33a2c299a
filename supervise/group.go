package supervise

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/event"
)

// lastWait is how long a component that did not end in time may still take after its context was
// cancelled.
const lastWait = 50 * time.Millisecond

// Group is the components of an instance. Start and Stop are called by one goroutine.
type Group struct {
	log      logrus.FieldLogger
	members  []*member // in the order of their start
	stopping atomic.Bool
	failed   context.Context
	setFail  context.CancelCauseFunc
}

// NewGroup returns a group without components. Stop must be called in the end.
func NewGroup(log logrus.FieldLogger) *Group {
	g := &Group{log: log}
	g.failed, g.setFail = context.WithCancelCause(context.Background())
	return g
}

// Start runs a component until Stop is called.
func (g *Group) Start(c Component) {
	m := &member{component: c, group: g, ended: make(chan struct{})}
	m.ctx, m.cancel = context.WithCancel(context.Background()) // not that of the caller: components stop in order
	g.members = append(g.members, m)
	go m.run()
}

// Until returns a context that ends with stop, or when a component ended without which the
// instance can't work.
func (g *Group) Until(stop context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(stop)
	release := context.AfterFunc(g.failed, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// Failure returns the end of the first component without which the instance can't work, nil if
// there is none.
func (g *Group) Failure() *Failure {
	var failure *Failure
	errors.As(context.Cause(g.failed), &failure)
	return failure
}

func (g *Group) fail(f *Failure) { g.setFail(f) }

// Stop stops the components one after the other, the last one started first, and logs those that
// don't end in time. When limit ends, all that still runs is cancelled at once. The error is that of
// work that could not be finished.
func (g *Group) Stop(limit context.Context) error {
	g.stopping.Store(true)
	defer g.setFail(nil)
	cancelAll := context.AfterFunc(limit, func() {
		for _, m := range g.members {
			m.requested.Store(true)
			m.cancel()
		}
	})
	defer cancelAll()
	var failures error
	for i := len(g.members) - 1; i >= 0; i-- {
		began := time.Now()
		inTime, err := g.members[i].stop(limit)
		if !inTime {
			eventNotEnded.Log(g.log, event.Fields{
				"component": g.members[i].component.Name, "waited_ms": time.Since(began).Milliseconds(),
			})
		}
		failures = errors.CombineErrors(failures, err)
	}
	return failures
}
