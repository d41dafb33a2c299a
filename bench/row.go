package bench

import (
	"fmt"
	"time"
)

// Row is one row of the table: a site at a given load under a fault.
type Row struct {
	Site  Site
	Load  float64
	Fault Fault
}

// Run lengths, and loads as a fraction of the site's capacity. Runs at overload
// measure the shares of the organisations; they are longer because a single
// prompt can be a twentieth of what a small organisation is served in ten minutes.
const (
	runLength      = 540 * time.Second
	overloadLength = 1860 * time.Second
	overloadLoad   = 1.1
	normalLoad     = 0.8
	lowLoad        = 0.5
)

// Rows returns all rows in the order of the table.
func Rows() []Row {
	var rows []Row
	for _, site := range []Site{Aretusa(), Brazos()} {
		for _, load := range []float64{lowLoad, normalLoad, overloadLoad} {
			rows = append(rows, Row{Site: site, Load: load, Fault: NoFault})
		}
		for _, fault := range Faults {
			rows = append(rows, Row{Site: site, Load: normalLoad, Fault: fault})
		}
	}
	return rows
}

// Name returns the name that the row filter matches.
func (r *Row) Name() string {
	if r.Fault == NoFault {
		return fmt.Sprintf("%s/%.0f%%", r.Site.Name, 100*r.Load)
	}
	return fmt.Sprintf("%s/%s", r.Site.Name, r.Fault)
}

func (r *Row) length() time.Duration {
	if r.Load >= overloadLoad {
		return overloadLength
	}
	return runLength
}

// run measures the row under a policy. The slowdown is relative to a second run
// with only the short requests of the trace and without the fault.
func (r *Row) run(policy Policy, seed uint64) *Result {
	trace := newTrace(&r.Site, r.Load, r.length(), seed)
	result := r.play(policy, seed, append(trace, r.Fault.extraArrivals(&r.Site, seed, faultPeriod)...), r.Fault)
	alone := r.play(policy, seed, shortOnly(trace), NoFault)
	result.Alone = alone.Short
	result.AloneFirstToken = alone.FirstToken
	result.Slowdown = ratio(result.Short.P95, alone.Short.P95)
	for b := range shortBuckets {
		result.BucketSlowdown = append(result.BucketSlowdown, ratio(result.FirstToken[b].P95, alone.FirstToken[b].P95))
	}
	return result
}

// shortBuckets is the number of leading buckets that hold short requests.
const shortBuckets = 2

func (r *Row) play(policy Policy, seed uint64, trace []arrival, fault Fault) *Result {
	sim := newSimulation(&r.Site, policy, seed, fault.hostConfig())
	fault.schedule(sim, faultPeriod)
	sim.run(trace, r.length())
	return sim.recorder.result(&r.Site)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
