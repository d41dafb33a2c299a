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

// Network delays between the processes.
const (
	networkDelay  = time.Millisecond
	maxRelayDelay = time.Second // of an announcement relayed between instances
)

// simulation is the state of one run.
type simulation struct {
	site       *Site
	now        time.Duration
	eventQueue eventQueue
	random     *rand.Rand
	hosts      map[string]*host
	order      []*host // the hosts by index
	instances  []*instance
	recorder   *recorder
	settledAt  time.Duration // last time at which the trace was not over or a request was unanswered
}

// Policy names a dispatch policy.
type Policy string

// The policies that are compared.
const (
	Celeryport Policy = "celeryport"
	Naive      Policy = "naive"
)

func newSimulation(site *Site, policy Policy, seed uint64, config enginemodel.Config) *simulation {
	sim := &simulation{
		site: site, random: rand.New(rand.NewPCG(seed, 0xb0b)),
		hosts: map[string]*host{}, recorder: newRecorder(),
	}
	for i := range site.Engines {
		h := newHost(sim, i, config)
		sim.hosts[h.name] = h
		sim.order = append(sim.order, h)
	}
	for i := range site.Instances {
		sim.instances = append(sim.instances, newInstance(sim, i, newDispatcher(policy, seed, i)))
	}
	return sim
}

func newDispatcher(policy Policy, seed uint64, index int) dispatch.Dispatcher {
	if policy == Naive {
		return naive.New()
	}
	return dispatch.New(dispatch.Config{}, rand.New(rand.NewPCG(seed, uint64(index))))
}

func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) after(d time.Duration, run func()) { sim.eventQueue.schedule(sim.now+d, run) }

// run simulates the trace until the simulation has settled or the drain period is
// over.
func (sim *simulation) run(trace []arrival, length time.Duration) {
	for i, h := range sim.order {
		sim.after(announceInterval*time.Duration(i)/time.Duration(len(sim.order))/10, h.announce)
	}
	for i, instance := range sim.instances {
		sim.after(time.Duration(i)*observeInterval/time.Duration(len(sim.instances)), instance.start)
	}
	sim.after(heartbeatInterval, sim.heartbeat)
	for i := range trace {
		a := &trace[i]
		r := a.request
		sim.eventQueue.schedule(a.at, func() { sim.arrive(a, &r) })
	}
	for {
		at, found := sim.eventQueue.next()
		if !found || at > length+drain || sim.settled(length) {
			return
		}
		sim.now = max(sim.now, at)
		sim.eventQueue.dequeue()()
	}
}

// settled reports whether every request has its final answer and leases that are
// no longer renewed have expired.
func (sim *simulation) settled(length time.Duration) bool {
	if sim.now <= length || sim.recorder.unanswered > 0 {
		sim.settledAt = sim.now
		return false
	}
	return sim.now > sim.settledAt+2*spanLease
}

func (sim *simulation) arrive(a *arrival, r *request.Request) {
	i := sim.instances[a.instance]
	if i.down {
		// A caller's address list is updated shortly after an instance dies; the
		// bench simplifies this and sends the caller to the next instance at once.
		i = sim.instances[(a.instance+1)%len(sim.instances)]
	}
	sim.recorder.arrived(sim.now, r)
	i.offer(r)
}

// heartbeat models the exchange of demands and grants between the instances and
// the leader of the control group. For simplicity all instances exchange them at
// the same time; the grants arrive after a round trip.
func (sim *simulation) heartbeat() {
	var live []*instance
	var statements []quota.Statement
	for _, i := range sim.instances {
		if !i.down {
			live = append(live, i)
			statements = append(statements, quota.Statement{
				Instance: i.name, Demands: i.dispatcher.Demands(sim.time()), Outstanding: i.granted,
			})
		}
	}
	limits := make([]quota.Limit, 0, len(sim.site.Organisations))
	for _, o := range sim.site.Organisations {
		limits = append(limits, quota.Limit{Organisation: o.Name})
	}
	grants := quota.Allocate(limits, statements)
	for n, i := range live {
		i.granted = grants[n].Grants
		sim.after(2*networkDelay, func() {
			if !i.down {
				i.dispatcher.ApplyGrants(sim.time(), grants[n].Grants)
				i.applyActions()
			}
		})
	}
	sim.after(heartbeatInterval, sim.heartbeat)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
