package bench

import (
	"fmt"
	"time"
)

// Row is one line of the table: a site at a load under a fault.
type Row struct {
	Site  Site
	Load  float64
	Fault Fault
}

// The lengths of the runs. At overload the shares of organisations are measured,
// and a single prompt may be a twentieth of what a small one gets in ten
// minutes, so these runs are longer.
const (
	runLength      = 540 * time.Second
	overloadLength = 1860 * time.Second
	overload       = 1.1
	normal         = 0.8
	quiet          = 0.5
)

// Rows are all rows in the order of the table.
func Rows() []Row {
	var rows []Row
	for _, site := range []Site{Aretusa(), Brazos()} {
		for _, load := range []float64{quiet, normal, overload} {
			rows = append(rows, Row{Site: site, Load: load, Fault: NoFault})
		}
		for _, fault := range Faults {
			rows = append(rows, Row{Site: site, Load: normal, Fault: fault})
		}
	}
	return rows
}

// Name is what the row filter matches.
func (r *Row) Name() string {
	if r.Fault == NoFault {
		return fmt.Sprintf("%s/%.0f%%", r.Site.Name, 100*r.Load)
	}
	return fmt.Sprintf("%s/%s", r.Site.Name, r.Fault)
}

func (r *Row) length() time.Duration {
	if r.Load >= overload {
		return overloadLength
	}
	return runLength
}

// run measures the row under a policy. The slowdown is against the same short
// requests alone, without the fault.
func (r *Row) run(policy Policy, seed uint64) *Result {
	trace := newTrace(&r.Site, r.Load, r.length(), seed)
	result := r.play(policy, seed, append(trace, r.Fault.extra(&r.Site, seed, faultPeriod)...), r.Fault)
	alone := r.play(policy, seed, shortOnly(trace), NoFault)
	result.Alone = alone.Short
	result.AloneFirstToken = alone.FirstToken
	result.Slowdown = ratio(result.Short.P95, alone.Short.P95)
	for b := range shortBuckets {
		result.BucketSlowdown = append(result.BucketSlowdown, ratio(result.FirstToken[b].P95, alone.FirstToken[b].P95))
	}
	return result
}

// shortBuckets is the number of columns that hold short requests.
const shortBuckets = 2

func (r *Row) play(policy Policy, seed uint64, trace []arrival, fault Fault) *Result {
	w := newWorld(&r.Site, policy, seed, fault.config())
	fault.plan(w, faultPeriod)
	w.run(trace, r.length())
	return w.record.result(&r.Site)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
