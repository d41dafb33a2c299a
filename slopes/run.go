package slopes

import (
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	instanceSizes = []int{8, 16, 32, 64, 100}
	upstreamSizes = []int{0, 26, 100, 300, 600}
	missedChanges = []int{500, 5000}
)

// Run measures everything. progress is told each step.
func Run(progress func(format string, args ...any)) (*Result, error) {
	folder, err := os.MkdirTemp("", "celeryport-slopes-")
	if err != nil {
		return nil, errors.Wrap(err, "make a folder for the data")
	}
	r := &Result{
		Date:    time.Now().UTC().Format(time.RFC3339),
		Machine: Machine{CPUs: runtime.NumCPU(), Go: runtime.Version(), System: runtime.GOOS + "/" + runtime.GOARCH, LoadAverage: loadAverage()},
	}
	err = r.measure(folder, progress)
	return r, errors.CombineErrors(err, os.RemoveAll(folder))
}

func (r *Result) measure(folder string, progress func(format string, args ...any)) error {
	for _, instances := range instanceSizes {
		progress("%d instances at rest", instances)
		idle, err := measureIdle(instances, 0, folder)
		if err != nil {
			return err
		}
		r.Instances = append(r.Instances, idle)
	}
	for _, upstreams := range upstreamSizes {
		progress("%d instances and %d upstreams", smallFleet, upstreams)
		idle, err := measureIdle(smallFleet, upstreams, folder)
		if err != nil {
			return err
		}
		r.Upstreams = append(r.Upstreams, idle)
	}
	r.fit()
	return r.measureEvents(folder, progress)
}

func (r *Result) measureEvents(folder string, progress func(format string, args ...any)) (err error) {
	progress("%d changes", changeCount+inForceCount)
	if r.Changes, err = measureChanges(folder); err != nil {
		return err
	}
	progress("%d deaths of the leader", electionCount)
	if r.Elections, err = measureElections(folder); err != nil {
		return err
	}
	progress("%d losses of the majority", outageCount)
	if r.Outages, err = measureOutages(folder); err != nil {
		return err
	}
	progress("claims")
	if r.Claims, err = measureClaims(folder); err != nil {
		return err
	}
	for _, missed := range missedChanges {
		progress("a voter that missed %d changes", missed)
		caught, err := measureCatchUp(missed, folder)
		if err != nil {
			return err
		}
		r.CatchUp = append(r.CatchUp, caught)
	}
	return nil
}

func (r *Result) fit() {
	instances := func(i *Idle) float64 { return float64(i.Instances) }
	upstreams := func(i *Idle) float64 { return float64(i.Upstreams) }
	r.Slopes = Slopes{
		LeaderBytesPerInstance:   fitIdle(r.Instances, instances, func(i *Idle) float64 { return i.LeaderBytes }),
		CPUPerInstance:           fitIdle(r.Instances, instances, func(i *Idle) float64 { return i.CPUPerInstance * float64(i.Instances) }),
		InstanceBytesPerUpstream: fitIdle(r.Upstreams, upstreams, func(i *Idle) float64 { return i.InstanceBytes }),
		LeaderBytesPerUpstream:   fitIdle(r.Upstreams, upstreams, func(i *Idle) float64 { return i.LeaderBytes }),
		CPUPerUpstream:           fitIdle(r.Upstreams, upstreams, func(i *Idle) float64 { return i.CPUPerInstance }),
		HeapPerUpstream:          fitIdle(r.Upstreams, upstreams, func(i *Idle) float64 { return i.HeapPerInstance }),
	}
}
