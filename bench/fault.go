package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"celeryport/standin/enginemodel"
)

// Fault is what goes wrong in a run.
type Fault string

// The faults.
const (
	NoFault         Fault = "none"
	EngineDies      Fault = "engine-dies"
	EngineSlow      Fault = "engine-slow"
	ReportsLate     Fault = "reports-late"
	CacheEventsLost Fault = "cache-events-lost"
	EntryDies       Fault = "entry-dies"
	AuditFlood      Fault = "audit-flood"
	GiantPrompts    Fault = "giant-prompts"
)

// Faults are all faults in the order of the table.
var Faults = []Fault{
	EngineDies, EngineSlow, ReportsLate, CacheEventsLost, EntryDies, AuditFlood, GiantPrompts,
}

// period is when a fault lasts.
type period struct {
	from  time.Duration
	until time.Duration
}

// faultPeriod is the period of the faults of the table.
var faultPeriod = period{from: 150 * time.Second, until: 400 * time.Second}

// The sizes of the faults.
const (
	slowSpeed     = 0.1
	reportsBehind = 5 * time.Second
	floodLoad     = 0.5 // of the capacity, on top of the rest
	giants        = 6
)

// config is the engine config under the fault.
func (f Fault) config() enginemodel.Config {
	c := engineConfig()
	switch f {
	case ReportsLate:
		c.LoadLag += reportsBehind
	case CacheEventsLost:
		c.CacheLossOneIn = 2
	default:
	}
	return c
}

// plan puts the fault into the run.
func (f Fault) plan(w *world, during period) {
	victim := w.order[len(w.order)/2]
	switch f {
	case EngineDies:
		w.events.plan(during.from, victim.die)
		w.events.plan(during.until, victim.restart)
	case EngineSlow:
		w.events.plan(during.from, func() { victim.setSpeed(slowSpeed) })
		w.events.plan(during.until, func() { victim.setSpeed(1) })
	case EntryDies:
		w.events.plan(during.from, w.instances[0].die)
	default:
	}
}

// extra are the requests that the fault adds to the trace.
func (f Fault) extra(site *Site, seed uint64, during period) []arrival {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	switch f {
	case AuditFlood:
		return flood(random, site, during)
	case GiantPrompts:
		return giantPrompts(random, site, during)
	default:
		return nil
	}
}

// flood is one small organisation sending audits.
func flood(random *rand.Rand, site *Site, during period) []arrival {
	flooder := site.Organisations[len(site.Organisations)-1].Name
	mix := len(site.Mix) - 1
	m := site.Mix[mix : mix+1]
	one := Site{Mix: m, Organisations: []Organisation{{Name: flooder, Demand: 1}}}
	perSecond := floodLoad * site.capacity() / (one.meanTokens() / m[0].Part)
	var extra []arrival
	for at := during.from.Seconds(); ; {
		at += random.ExpFloat64() / perSecond
		if at >= during.until.Seconds() {
			return extra
		}
		a := arrival{at: time.Duration(at * float64(time.Second)), instance: random.IntN(site.Instances)}
		a.request = drawRequest(random, &one, 0)
		a.request.ID = "flood-" + strconv.Itoa(len(extra))
		a.stamp()
		extra = append(extra, a)
	}
}

// giantPrompts are six prompts that each need a span, at one moment at different
// instances.
func giantPrompts(random *rand.Rand, site *Site, during period) []arrival {
	mix := site.Mix[len(site.Mix)-1]
	mix.Shortest, mix.Longest = 900_000, 1_000_000
	one := Site{Mix: []Mix{mix}, Organisations: site.Organisations}
	var extra []arrival
	for i := range giants {
		a := arrival{at: during.from, instance: i % site.Instances}
		a.request = drawRequest(random, &one, 0)
		a.request.ID = "giant-" + strconv.Itoa(i)
		a.stamp()
		extra = append(extra, a)
	}
	return extra
}

func (h *host) setSpeed(factor float64) {
	h.engine.SetSpeed(h.world.time(), factor)
	h.touched()
}
