package forward

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/polling"
	"celeryport/recovery"
)

// listedInstances returns from which sources this instance expects loads. The last result is false
// until it has received the list of instances.
func (s *Server) listedInstances() (recovery.Listed, bool) {
	table := s.peering()
	return recovery.Listed{Peers: table.Peers(), Zones: table.Zones()}, len(s.options.Plane.View().Instances) > 0
}

// viewComplete reports whether this instance knows the loads of the others. The lock of the fleet
// must be held.
func (s *Server) viewComplete(now time.Time) bool {
	listed, known := s.listedInstances()
	s.fleet.view.Observe(now, listed, known)
	return s.fleet.view.Complete(now, listed)
}

// tickView records that this process runs.
func (s *Server) tickView(now time.Time) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.view.Tick(now)
	s.viewComplete(now)
}

// recovering reports whether this instance has started so recently that engines may still run calls
// of lost processes.
func (s *Server) recovering(now time.Time) bool { return now.Sub(s.startedAt) < residualPeriod }

// residualPeriod is how long after its start an instance records residual load: until the list of
// instances is known, the view is complete, and two polls later.
const residualPeriod = startupGrace + 2*pollInterval

// recordResidual records the residual load of a node that was polled, and returns whether there is
// any to report. The lock of the fleet must be held.
func (s *Server) recordResidual(now time.Time, n *node, state *recovery.EngineState) bool {
	view := s.options.Plane.View()
	profile := engineProfile(view.Tree, n.service)
	if profile == nil || !s.recovering(now) {
		n.report.residual = recovery.Residual{}
		return false
	}
	capacity := recovery.Capacity{Slots: profile.Slots, Tokens: profile.MemoryTokens}
	capacity.Usual = max(placement.FullWait(profile), pollInterval) // the next poll renews it
	reporter := polling.Assign(s.options.Process.Name, forwardingNames(view.Instances), 1).Includes(n.key)
	n.report.residual.Record(now, state, capacity, n.load, s.fleet.othersLoad(now, n), s.viewComplete(now), reporter)
	return n.report.residual.Confirmed(now) != (loadshare.Load{})
}

// nextStart returns where the next call starts among the engines while the loads are unknown. The
// lock of the fleet must be held.
func (s *Server) nextStart() [2]float64 {
	rank, count := 0, 0
	for name := range forwardingNames(s.options.Plane.View().Instances) {
		count++
		if name < s.options.Process.Name {
			rank++
		}
	}
	return s.fleet.spread.Next(rank, count)
}

// awaitInstances waits for the list of instances if a long prompt arrives before it: without the
// list there is no arbiter, and each instance would place its long prompts itself. It returns
// false if the caller left.
func (x *exchange) awaitInstances(ctx context.Context) bool {
	objective, _ := x.nextEvent(time.Now())
	for x.server.awaitsList(x.began, objective) {
		if !clock.Pause(ctx, settingsPollInterval) {
			return false
		}
	}
	return true
}

func (s *Server) awaitsList(began time.Time, objective time.Duration) bool {
	now := time.Now()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.viewComplete(now)
	return s.fleet.view.AwaitsList(now, began, objective)
}
