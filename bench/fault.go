package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"celeryport/standin/enginemodel"
)

// Fault is a fault that is injected into a run.
type Fault string

// The faults that can be injected.
const (
	NoFault         Fault = "none"
	EngineCrash     Fault = "engine-dies"
	SlowEngine      Fault = "engine-slow"
	DelayedReports  Fault = "reports-late"
	LostCacheEvents Fault = "cache-events-lost"
	EntryCrash      Fault = "entry-dies"
	AuditFlood      Fault = "audit-flood"
	GiantPrompts    Fault = "giant-prompts"
)

// Faults lists all faults in the order of the table.
var Faults = []Fault{
	EngineCrash, SlowEngine, DelayedReports, LostCacheEvents, EntryCrash, AuditFlood, GiantPrompts,
}

// period is the time during which a fault is active, from the start of the run.
type period struct {
	start time.Duration
	end   time.Duration
}

// faultPeriod is the period of the faults in the rows of the table.
var faultPeriod = period{start: 150 * time.Second, end: 400 * time.Second}

// The magnitudes of the faults.
const (
	slowSpeedFactor  = 0.1
	reportDelay      = 5 * time.Second
	floodLoad        = 0.5 // fraction of the site's capacity, in addition to the normal load
	giantPromptCount = 6
)

// hostConfig returns the configuration of the engines under the fault.
func (f Fault) hostConfig() enginemodel.Config {
	c := engineConfig()
	switch f {
	case DelayedReports:
		c.LoadLag += reportDelay
	case LostCacheEvents:
		c.CacheLossOneIn = 2
	default:
	}
	return c
}

// schedule schedules the start and end of the fault in the simulation.
func (f Fault) schedule(sim *simulation, during period) {
	victim := sim.order[len(sim.order)/2]
	switch f {
	case EngineCrash:
		sim.eventQueue.schedule(during.start, victim.crash)
		sim.eventQueue.schedule(during.end, victim.restart)
	case SlowEngine:
		sim.eventQueue.schedule(during.start, func() { victim.setSpeed(slowSpeedFactor) })
		sim.eventQueue.schedule(during.end, func() { victim.setSpeed(1) })
	case EntryCrash:
		sim.eventQueue.schedule(during.start, sim.instances[0].crash)
	default:
	}
}

// extraArrivals returns the requests that the fault adds to the trace.
func (f Fault) extraArrivals(site *Site, seed uint64, during period) []arrival {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	switch f {
	case AuditFlood:
		return auditFlood(random, site, during)
	case GiantPrompts:
		return giantPrompts(random, site, during)
	default:
		return nil
	}
}

// auditFlood returns a flood of audit requests from one small organisation, the
// last one of the site.
func auditFlood(random *rand.Rand, site *Site, during period) []arrival {
	flooder := site.Organisations[len(site.Organisations)-1].Name
	mix := len(site.Mix) - 1
	m := site.Mix[mix : mix+1]
	one := Site{Mix: m, Organisations: []Organisation{{Name: flooder, Demand: 1}}}
	perSecond := floodLoad * site.capacity() / (one.meanTokens() / m[0].Share)
	var extra []arrival
	for at := during.start.Seconds(); ; {
		at += random.ExpFloat64() / perSecond
		if at >= during.end.Seconds() {
			return extra
		}
		a := arrival{at: time.Duration(at * float64(time.Second)), instance: random.IntN(site.Instances)}
		a.request = drawRequest(random, &one, 0)
		a.request.ID = "flood-" + strconv.Itoa(len(extra))
		a.setTimes()
		extra = append(extra, a)
	}
}

// giantPrompts returns six prompts that each need a span of several engines. They
// arrive at the same time, spread over the instances.
func giantPrompts(random *rand.Rand, site *Site, during period) []arrival {
	mix := site.Mix[len(site.Mix)-1]
	mix.Shortest, mix.Longest = 900_000, 1_000_000
	one := Site{Mix: []Mix{mix}, Organisations: site.Organisations}
	var extra []arrival
	for i := range giantPromptCount {
		a := arrival{at: during.start, instance: i % site.Instances}
		a.request = drawRequest(random, &one, 0)
		a.request.ID = "giant-" + strconv.Itoa(i)
		a.setTimes()
		extra = append(extra, a)
	}
	return extra
}

func (h *host) setSpeed(factor float64) {
	h.engine.SetSpeed(h.simulation.time(), factor)
	h.advance()
}
