package forward

import (
	"fmt"

	"celeryport/loadshare"
)

// reporters number the reports of loads of this incarnation. They outlive a socket: the others drop
// reports with numbers that they have received already.
type reporters struct {
	own  *loadshare.Reporter
	zone *loadshare.Reporter // used while this instance is the aggregator of its zone
}

// startReporters makes the next reports full ones, and numbers the reports if none was sent yet.
func (s *Server) startReporters() {
	if s.reporters.own == nil {
		id := fmt.Sprintf("%s/%d", s.options.Process.Name, s.options.Plane.View().Incarnation)
		s.reporters.own = loadshare.NewReporter(loadshare.KeyOf(id))
		s.reporters.zone = loadshare.NewReporter(loadshare.KeyOf(id + " for its zone"))
	}
	s.reporters.own.Restart()
	s.reporters.zone.Restart()
}
