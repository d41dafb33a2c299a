package entry

import (
	"time"

	"celeryport/quota"
)

// Demands returns the demand of each organisation that this instance has observed,
// for the next control heartbeat.
func (s *Server) Demands() []quota.Demand {
	var demands []quota.Demand
	s.driver.do(func(now time.Time) { demands = s.options.Dispatcher.Demands(now) })
	return demands
}
