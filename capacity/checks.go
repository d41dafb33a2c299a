package capacity

import (
	"fmt"

	"celeryport/slopes"
)

// Checked is what the slopes say of one fleet, beside what a trial gave.
type Checked struct {
	Instances, Upstreams                int
	LeaderSlope, LeaderTrial, LeaderOff string
	BytesSlope, BytesTrial              string
	CPUSlope, CPUTrial                  string
}

// Checks compares the slopes with the trials.
func (m *Model) Checks() []Checked {
	var all []Checked
	for _, f := range m.traffic.Trials.Fleets {
		upstreams := float64(f.Upstreams)
		leader := m.leaderBytes(upstreams).at(float64(f.Instances))
		all = append(all, Checked{
			Instances: f.Instances, Upstreams: f.Upstreams,
			LeaderSlope: BytesPerSecond.format(leader), LeaderTrial: BytesPerSecond.format(f.LeaderBytes),
			LeaderOff:  fmt.Sprintf("%+.1f%%", 100*(leader-f.LeaderBytes)/f.LeaderBytes),
			BytesSlope: BytesPerSecond.format(lineOf(m.control.Slopes.InstanceBytesPerUpstream).at(upstreams)),
			BytesTrial: BytesPerSecond.format(f.InstanceBytes),
			CPUSlope:   Cores.format(lineOf(m.control.Slopes.CPUPerUpstream).at(upstreams)),
			CPUTrial:   Cores.format(f.CPUPerInstance),
		})
	}
	return all
}

// largestTrial is the trial with the target's upstreams and the most instances.
func (m *Model) largestTrial() (largest slopes.Idle) {
	for _, f := range m.traffic.Trials.Fleets {
		if float64(f.Upstreams) == m.target.Upstreams && f.Instances > largest.Instances {
			largest = f
		}
	}
	return largest
}

// smallestTrial is the one with the fewest.
func (m *Model) smallestTrial() slopes.Idle {
	smallest := m.largestTrial()
	for _, f := range m.traffic.Trials.Fleets {
		if float64(f.Upstreams) == m.target.Upstreams && f.Instances < smallest.Instances {
			smallest = f
		}
	}
	return smallest
}

// fleetCPU is the processor time of a whole fleet with the target's upstreams, by
// instances, through the smallest and the largest trial.
func (m *Model) fleetCPU() line {
	small, large := m.smallestTrial(), m.largestTrial()
	of := func(f *slopes.Idle) float64 { return f.CPUPerInstance * float64(f.Instances) }
	return through(float64(small.Instances), of(&small), float64(large.Instances), of(&large))
}

// withTrial adds what the largest trial gives instead of the measured part at 8
// instances.
func (m *Model) withTrial(r Row, trial, rest float64) Row {
	verdict := "within the limit"
	if trial+rest > r.Limit {
		verdict = "over the limit too"
	}
	r.Trial = fmt.Sprintf("with the trial at %d instances instead of the slope: %s + %s = %s, %s", m.largestTrial().Instances,
		r.Unit.format(trial), r.Unit.format(rest), r.Unit.format(trial+rest), verdict)
	return r
}
