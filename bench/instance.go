package bench

import (
	"fmt"
	"time"

	"celeryport/dispatch"
	"celeryport/quota"
	"celeryport/request"
	"celeryport/upstream"
)

// instance drives one dispatcher, as an entry instance does.
type instance struct {
	world      *world
	index      int
	name       string
	dispatcher dispatch.Dispatcher
	registry   *upstream.Registry
	dirty      bool
	down       bool
	flights    map[string]*flight
	tickAt     time.Duration
	granted    []quota.Grant
}

// The intervals of an instance's own work.
const (
	freshFor       = 3 * time.Second
	observeEvery   = 100 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
)

func newInstance(w *world, index int, d dispatch.Dispatcher) *instance {
	return &instance{
		world: w, index: index, name: fmt.Sprintf("entry-%d", index), dispatcher: d,
		registry: upstream.NewRegistry(freshFor), flights: map[string]*flight{}, tickAt: noWake,
	}
}

func (i *instance) start() {
	i.dispatcher.Configure(i.world.time(), i.world.site.tree())
	i.act()
	i.observe()
}

func (i *instance) hear(a upstream.Announcement, age time.Duration) {
	if !i.down {
		i.registry.ApplyRelayed(i.world.time(), upstream.Relayed{Announcement: a, Age: age})
		i.dirty = true
	}
}

// observe hands the dispatcher a new view ten times a second.
func (i *instance) observe() {
	if i.down {
		return
	}
	now := i.world.time()
	i.dispatcher.Observe(now, i.registry.Snapshot(now))
	i.act()
	i.world.after(observeEvery, i.observe)
}

func (i *instance) offer(r *request.Request) {
	if i.down {
		return
	}
	i.dispatcher.Offer(i.world.time(), r)
	i.act()
}

// act carries out the actions of the dispatcher and plans its next tick.
func (i *instance) act() {
	for _, a := range append([]dispatch.Action(nil), i.dispatcher.Actions()...) {
		switch a.Kind {
		case dispatch.Send:
			f := &flight{instance: i, request: a.Request, attempt: a.Attempt, parts: a.Placement.Parts, priority: a.Priority, sentAt: i.world.now}
			i.flights[a.Request.ID] = f
			i.world.after(networkDelay, f.arrive)
		case dispatch.Cancel:
			f := i.flights[a.Request.ID]
			delete(i.flights, a.Request.ID)
			f.over = true
			i.world.after(networkDelay, f.cancel)
		case dispatch.Refuse:
			i.world.record.refused(i.world.now, a.Request, a.Err)
		}
	}
	i.planTick()
}

func (i *instance) planTick() {
	w := i.world
	at := max(i.dispatcher.NextTick(w.time()).Sub(epoch), w.now+time.Microsecond)
	if i.tickAt != noWake && i.tickAt <= at {
		return
	}
	i.tickAt = at
	w.events.plan(at, func() {
		if i.tickAt != at || i.down {
			return
		}
		i.tickAt = noWake
		i.dispatcher.Tick(w.time())
		i.act()
	})
}

// finish tells the dispatcher the end of a send.
func (i *instance) finish(f *flight, outcome dispatch.Outcome) {
	if f.over || i.down {
		return
	}
	f.over = true
	if i.flights[f.request.ID] == f {
		delete(i.flights, f.request.ID)
	}
	i.dispatcher.Finish(i.world.time(), f.request.ID, outcome)
	i.act()
}

// vanish ends the instance without a word: its machine is gone, and so are the
// packets that would close its connections.
func (i *instance) vanish() {
	i.down = true
	for _, f := range i.flights {
		f.over = true
	}
	i.flights = map[string]*flight{}
}

// die ends the instance. Its callers' requests are lost with it, and the engines
// notice the closed connections.
func (i *instance) die() {
	i.down = true
	for _, id := range sortedKeys(i.flights) {
		f := i.flights[id]
		f.over = true
		i.world.after(networkDelay, f.cancel)
	}
	i.flights = map[string]*flight{}
}
