package bench

import (
	"fmt"
	"time"

	"celeryport/dispatch"
	"celeryport/quota"
	"celeryport/request"
	"celeryport/upstream"
)

// instance models an entry instance: it drives one dispatcher.
type instance struct {
	simulation *simulation
	index      int
	name       string
	dispatcher dispatch.Dispatcher
	registry   *upstream.Registry
	dirty      bool
	down       bool
	attempts   map[string]*sendAttempt
	tickAt     time.Duration
	granted    []quota.Grant
}

// Intervals of an instance's periodic work, and the age at which its registry
// considers an announcement stale.
const (
	announcementFreshness = 3 * time.Second
	observeInterval       = 100 * time.Millisecond
	heartbeatInterval     = 500 * time.Millisecond
)

func newInstance(sim *simulation, index int, d dispatch.Dispatcher) *instance {
	return &instance{
		simulation: sim, index: index, name: fmt.Sprintf("entry-%d", index), dispatcher: d,
		registry: upstream.NewRegistry(announcementFreshness), attempts: map[string]*sendAttempt{}, tickAt: notScheduled,
	}
}

func (i *instance) start() {
	i.dispatcher.Configure(i.simulation.time(), i.simulation.site.tree())
	i.applyActions()
	i.observe()
}

func (i *instance) receive(a upstream.Announcement, age time.Duration) {
	if !i.down {
		i.registry.ApplyRelayed(i.simulation.time(), upstream.Relayed{Announcement: a, Age: age})
		i.dirty = true
	}
}

// observe passes a new snapshot of the registry to the dispatcher, ten times a
// second.
func (i *instance) observe() {
	if i.down {
		return
	}
	now := i.simulation.time()
	i.dispatcher.Observe(now, i.registry.Snapshot(now))
	i.applyActions()
	i.simulation.after(observeInterval, i.observe)
}

func (i *instance) offer(r *request.Request) {
	if i.down {
		return
	}
	i.dispatcher.Offer(i.simulation.time(), r)
	i.applyActions()
}

// applyActions executes the actions of the dispatcher and schedules its next tick.
func (i *instance) applyActions() {
	for _, a := range append([]dispatch.Action(nil), i.dispatcher.Actions()...) {
		switch a.Kind {
		case dispatch.Send:
			attempt := &sendAttempt{instance: i, request: a.Request, number: a.Attempt, parts: a.Placement.Parts, priority: a.Priority, sentAt: i.simulation.now}
			i.attempts[a.Request.ID] = attempt
			i.simulation.after(networkDelay, attempt.arrive)
		case dispatch.Cancel:
			attempt := i.attempts[a.Request.ID]
			delete(i.attempts, a.Request.ID)
			attempt.done = true
			i.simulation.after(networkDelay, attempt.cancel)
		case dispatch.Refuse:
			i.simulation.recorder.refused(i.simulation.now, a.Request, a.Err)
		}
	}
	i.scheduleTick()
}

func (i *instance) scheduleTick() {
	sim := i.simulation
	at := max(i.dispatcher.NextTick(sim.time()).Sub(epoch), sim.now+time.Microsecond)
	if i.tickAt != notScheduled && i.tickAt <= at {
		return
	}
	i.tickAt = at
	sim.eventQueue.schedule(at, func() {
		if i.tickAt != at || i.down {
			return
		}
		i.tickAt = notScheduled
		i.dispatcher.Tick(sim.time())
		i.applyActions()
	})
}

// finish reports the outcome of a send attempt to the dispatcher.
func (i *instance) finish(attempt *sendAttempt, outcome dispatch.Outcome) {
	if attempt.done || i.down {
		return
	}
	attempt.done = true
	if i.attempts[attempt.request.ID] == attempt {
		delete(i.attempts, attempt.request.ID)
	}
	i.dispatcher.Finish(i.simulation.time(), attempt.request.ID, outcome)
	i.applyActions()
}

// powerOff stops the instance without closing its connections, as when its machine
// loses power: the engines are not notified.
func (i *instance) powerOff() {
	i.down = true
	for _, attempt := range i.attempts {
		attempt.done = true
	}
	i.attempts = map[string]*sendAttempt{}
}

// crash stops the instance. The requests of its callers are lost, and the engines
// cancel its jobs because its connections close.
func (i *instance) crash() {
	i.down = true
	for _, id := range sortedKeys(i.attempts) {
		attempt := i.attempts[id]
		attempt.done = true
		i.simulation.after(networkDelay, attempt.cancel)
	}
	i.attempts = map[string]*sendAttempt{}
}
