package forward

import (
	"sync"
	"time"

	"celeryport/event"
	"celeryport/resend"
)

// denialLogInterval is the shortest time between two log lines about denied repeats of one service.
const denialLogInterval = time.Second

// takeRepeat reports whether a call to a service may be sent once more, and counts the repeat if so.
func (s *Server) takeRepeat(now time.Time, service string) bool {
	allowed := s.budgets.TakeRepeat(now, service)
	s.options.Metrics.Repeat(service, allowed)
	if !allowed {
		s.logDenied(now, service)
	}
	return allowed
}

// denialLog records when a denied repeat was logged last, by service.
type denialLog struct {
	mu sync.Mutex
	at map[string]time.Time
}

// due reports whether a denied repeat of a service is to be logged.
func (l *denialLog) due(now time.Time, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at[service]) < denialLogInterval {
		return false
	}
	if l.at == nil {
		l.at = map[string]time.Time{}
	}
	l.at[service] = now
	return true
}

func (s *Server) logDenied(now time.Time, service string) {
	if !s.denials.due(now, service) {
		return
	}
	usage := s.budgets.Usage(now, service)
	eventRepeatDenied.Log(s.options.Log, event.Fields{
		"service": service, "calls": usage.Calls, "repeats": usage.Repeats, "slack": usage.Slack, "instances": s.sharers().Instances,
	})
}

// observeSharers accounts for the number of instances that share the repeat budgets, and logs a change
// of it. Only one goroutine may call it.
func (s *Server) observeSharers(now time.Time) {
	s.budgets.Observe(now)
	if count := s.sharers().Instances; count != s.sharersLogged {
		s.sharersLogged = count
		eventRepeatSharers.Log(s.options.Log, event.Fields{"instances": count, "after_ms": now.Sub(s.startedAt).Milliseconds()})
	}
}

// sharers returns which instances share the repeat budgets: all that take calls, as far as this one
// knows. Those that are gone are listed for minutes and may still send to upstreams.
func (s *Server) sharers() resend.Fleet {
	view := s.options.Plane.View()
	fleet := resend.Fleet{Complete: view.Complete && view.HasQuorum}
	for i := range view.Instances {
		if view.Instances[i].Address != "" {
			fleet.Instances++
		}
	}
	return fleet
}
