package bench

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"celeryport/dispatch"
	"celeryport/quota"
	"celeryport/request"
	"celeryport/routing/naive"
	"celeryport/standin/enginemodel"
)

// Delays between the processes.
const (
	networkDelay = time.Millisecond
	relayMax     = time.Second // of an announcement from instance to instance
)

// world is one run.
type world struct {
	site      *Site
	now       time.Duration
	events    events
	random    *rand.Rand
	hosts     map[string]*host
	order     []*host
	instances []*instance
	record    *record
	settledAt time.Duration // when the last request ended
}

// Policy names what is measured.
type Policy string

// The policies.
const (
	Celeryport Policy = "celeryport"
	Naive      Policy = "naive"
)

func newWorld(site *Site, policy Policy, seed uint64, config enginemodel.Config) *world {
	w := &world{
		site: site, random: rand.New(rand.NewPCG(seed, 0xb0b)),
		hosts: map[string]*host{}, record: newRecord(),
	}
	for i := range site.Engines {
		h := newHost(w, i, config)
		w.hosts[h.name] = h
		w.order = append(w.order, h)
	}
	for i := range site.Instances {
		w.instances = append(w.instances, newInstance(w, i, newDispatcher(policy, seed, i)))
	}
	return w
}

func newDispatcher(policy Policy, seed uint64, index int) dispatch.Dispatcher {
	if policy == Naive {
		return naive.New()
	}
	return dispatch.New(dispatch.Config{}, rand.New(rand.NewPCG(seed, uint64(index))))
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, run func()) { w.events.plan(w.now+d, run) }

// run plays the trace to its end.
func (w *world) run(trace []arrival, length time.Duration) {
	for i, h := range w.order {
		w.after(announceEvery*time.Duration(i)/time.Duration(len(w.order))/10, h.announce)
	}
	for i, instance := range w.instances {
		w.after(time.Duration(i)*observeEvery/time.Duration(len(w.instances)), instance.start)
	}
	w.after(heartbeatEvery, w.heartbeat)
	for i := range trace {
		a := &trace[i]
		r := a.request
		w.events.plan(a.at, func() { w.arrive(a, &r) })
	}
	for {
		at, some := w.events.next()
		if !some || at > length+drain || w.settled(length) {
			return
		}
		w.now = max(w.now, at)
		w.events.take()()
	}
}

// settled says that every request has its final answer and that leases which
// nobody renews have run out.
func (w *world) settled(length time.Duration) bool {
	if w.now <= length || w.record.open > 0 {
		w.settledAt = w.now
		return false
	}
	return w.now > w.settledAt+2*spanLease
}

func (w *world) arrive(a *arrival, r *request.Request) {
	i := w.instances[a.instance]
	if i.down {
		// The caller's address list names live instances after a moment; the
		// bench sends such a caller to the next one at once.
		i = w.instances[(a.instance+1)%len(w.instances)]
	}
	w.record.arrived(w.now, r)
	i.offer(r)
}

// heartbeat exchanges demands and grants between the instances and the leader of
// the control group, all at one time for simplicity; answers arrive a little
// later.
func (w *world) heartbeat() {
	var live []*instance
	var statements []quota.Statement
	for _, i := range w.instances {
		if !i.down {
			live = append(live, i)
			statements = append(statements, quota.Statement{
				Instance: i.name, Demands: i.dispatcher.Demands(w.time()), Outstanding: i.granted,
			})
		}
	}
	limits := make([]quota.Limit, 0, len(w.site.Organisations))
	for _, o := range w.site.Organisations {
		limits = append(limits, quota.Limit{Organisation: o.Name})
	}
	grants := quota.Allocate(limits, statements)
	for n, i := range live {
		i.granted = grants[n].Grants
		w.after(2*networkDelay, func() {
			if !i.down {
				i.dispatcher.ApplyGrants(w.time(), grants[n].Grants)
				i.act()
			}
		})
	}
	w.after(heartbeatEvery, w.heartbeat)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
