package resend

import (
	"testing"
	"time"
)

// fleetRun plays instances of which each calls a failing service at an even rate and repeats every call
// as often as its budget allows.
type fleetRun struct {
	budget    Budget
	instances int
	interval  time.Duration                // between two calls of an instance
	restarts  map[time.Duration]bool       // when all instances are restarted, in steps of a millisecond
	fleet     func(at time.Duration) Fleet // what a process knows of the instances that share the budget

	calls, repeats []time.Duration
}

var start = time.Unix(1_700_000_000, 0)

func (r *fleetRun) play(length time.Duration) {
	processes := make([]*Budgets, r.instances)
	for at := time.Duration(0); at < length; at += time.Millisecond {
		for i := range processes {
			if processes[i] == nil || r.restarts[at] {
				processes[i] = newBudgetsOf(r, &at)
			}
			if (at+time.Duration(i)*time.Millisecond)%r.interval != 0 {
				continue
			}
			processes[i].RecordCall(start.Add(at), "model")
			r.calls = append(r.calls, at)
			for processes[i].TakeRepeat(start.Add(at), "model") {
				r.repeats = append(r.repeats, at)
			}
		}
	}
}

func newBudgetsOf(r *fleetRun, at *time.Duration) *Budgets {
	return NewBudgets(start.Add(*at), r.budget, func() Fleet { return r.fleet(*at) })
}

// check compares the repeats of each window with what all instances together may send.
func (r *fleetRun) check(t *testing.T) {
	t.Helper()
	window := r.budget.Window
	for begin, at := range r.repeats {
		repeats := within(r.repeats[begin:], at, window)
		calls := max(within(r.calls, at, window), within(r.calls, at-window/2, window), within(r.calls, at-window, window))
		if most := r.budget.Ratio*float64(calls) + r.budget.Slack; float64(repeats) > most {
			t.Fatalf("%d repeats in the window from %s for %d calls, at most %.0f are allowed", repeats, at, calls, most)
		}
	}
}

func within(times []time.Duration, begin, length time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= begin && at < begin+length {
			count++
		}
	}
	return count
}

// Guards against repeats beyond the budget because a restarted process does not know what its
// predecessors have spent.
func TestRestartedInstancesStayWithinTheBudget(t *testing.T) {
	r := &fleetRun{
		budget: Budget{Ratio: 0.2, Slack: 102, Window: 10 * time.Second}, instances: 7, interval: 160 * time.Millisecond,
		restarts: map[time.Duration]bool{},
		fleet:    func(time.Duration) Fleet { return Fleet{Instances: 7, Complete: true} },
	}
	for _, second := range []int{14, 18, 21, 22, 23, 30} {
		r.restarts[time.Duration(second)*time.Second] = true
	}
	r.play(40 * time.Second)
	r.check(t)
}

// Guards against repeats beyond the budget because processes that have just started, or whose control
// group has a new leader, do not know the other instances yet and each take the whole slack.
func TestInstancesThatDoNotKnowEachOtherStayWithinTheBudget(t *testing.T) {
	r := &fleetRun{
		budget: Budget{Ratio: 0.2, Slack: 102, Window: 10 * time.Second}, instances: 7, interval: 160 * time.Millisecond,
		restarts: map[time.Duration]bool{14 * time.Second: true},
		fleet: func(at time.Duration) Fleet {
			if sinceRestart := at - 14*time.Second; sinceRestart >= 0 && sinceRestart < 2*time.Second {
				return Fleet{Instances: 1}
			}
			return Fleet{Instances: 7, Complete: true}
		},
	}
	r.play(40 * time.Second)
	r.check(t)
}
