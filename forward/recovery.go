package forward

import (
	"context"
	"time"

	"celeryport/clock"
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
