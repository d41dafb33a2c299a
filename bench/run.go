package bench

import (
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Options select the rows and runs to measure.
type Options struct {
	Filter  string // measure only rows whose name contains it; empty: all rows
	Seeds   int
	Workers int // runs executed concurrently
}

// Defaults of the options.
const (
	defaultSeeds = 3
	maxWorkers   = 6
)

func (o Options) withDefaults() Options {
	if o.Seeds <= 0 {
		o.Seeds = defaultSeeds
	}
	if o.Workers <= 0 {
		o.Workers = min(maxWorkers, runtime.NumCPU())
	}
	return o
}

// MeasuredRow is one row with the results of both policies, one result per seed.
type MeasuredRow struct {
	Row        string    `json:"row"`
	Celeryport []*Result `json:"celeryport"`
	Naive      []*Result `json:"naive"`

	row Row
}

// Run measures the rows that match the filter.
func Run(options Options) []*MeasuredRow {
	options = options.withDefaults()
	var measured []*MeasuredRow
	for _, row := range Rows() {
		if !strings.Contains(row.Name(), options.Filter) {
			continue
		}
		measured = append(measured, &MeasuredRow{
			Row: row.Name(), row: row,
			Celeryport: make([]*Result, options.Seeds), Naive: make([]*Result, options.Seeds),
		})
	}
	runAll(options, measured)
	return measured
}

// runAll executes all runs on a few goroutines. Each run has its own state, so the
// results do not depend on the order in which the runs finish.
func runAll(options Options, measured []*MeasuredRow) {
	work := make(chan func())
	var workers sync.WaitGroup
	for range options.Workers {
		workers.Go(func() {
			for run := range work {
				run()
			}
		})
	}
	for _, m := range measured {
		for seed := range options.Seeds {
			work <- func() { m.Celeryport[seed] = m.row.run(Celeryport, uint64(seed+1)) }
			work <- func() { m.Naive[seed] = m.row.run(Naive, uint64(seed+1)) }
		}
	}
	close(work)
	workers.Wait()
}

// median returns the median over the seeds of a value read from each result.
func median(results []*Result, read func(*Result) float64) float64 {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = read(r)
	}
	slices.Sort(values)
	return values[len(values)/2]
}
