package forward

import (
	"context"
	"time"

	"celeryport/clock"
	"celeryport/event"
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
	if until, known := s.fleet.view.RecoveringUntil(); known {
		s.fleet.recoveringUntil.Store(until.UnixNano())
	}
	return s.fleet.view.Complete(now, listed)
}

// zoneKnown reports whether this instance knows the loads of its own zone.
func (s *Server) zoneKnown(now time.Time) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	listed, known := s.listedInstances()
	s.fleet.view.Observe(now, listed, known)
	return s.fleet.view.ZoneKnown(now, listed)
}

// tickView records that this process runs, and logs when its view has become complete.
func (s *Server) tickView(now time.Time) {
	f := s.fleet
	f.mu.Lock()
	f.view.Tick(now)
	complete := s.viewComplete(now)
	changed := complete != f.viewLogged
	f.viewLogged = complete
	calls := f.spread.Calls()
	f.mu.Unlock()
	if changed && complete {
		eventLoadsKnown.Log(s.options.Log, event.Fields{"after_ms": now.Sub(s.startedAt).Milliseconds(), "spread": calls})
	}
}

// awaitTurn delays a call that was held back, so that of the calls that are placed at the same
// moment the shortest ones are first. It returns false if the caller left. The arbiter orders
// long prompts.
func (x *exchange) awaitTurn(ctx context.Context) bool {
	if !x.heldBack || x.service.Engine == nil || x.isLong() {
		return true
	}
	return clock.Pause(ctx, recovery.Turn(placement.PrefillTime(x.service.Engine, x.call.PromptTokens), x.route.Objective))
}

// spreadRetry spreads a Retry-After evenly around its usual value, so that the callers that an
// instance refuses at the same moment do not return together.
func (x *exchange) spreadRetry(usual time.Duration) time.Duration {
	return usual/2 + time.Duration(x.server.draw()*float64(usual))
}

// recovering reports whether this instance has started so recently that effects of lost processes
// last: engines may still run their calls, and their callers return.
func (s *Server) recovering(now time.Time) bool {
	until := s.fleet.recoveringUntil.Load()
	return until == 0 || now.UnixNano() < until
}

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
