package entry

import (
	"time"

	"celeryport/quota"
)

// Demands returns what this instance saw of each organisation, for the next
// heartbeat of control.
func (s *Server) Demands() []quota.Demand {
	var demands []quota.Demand
	s.driver.do(func(now time.Time) { demands = s.options.Dispatcher.Demands(now) })
	return demands
}
