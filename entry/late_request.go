package entry

import (
	"time"

	"celeryport/drain"
	"celeryport/request"
	"celeryport/verdict"
)

// shutdownBound is when a shutdown began and how long it takes at most.
type shutdownBound struct {
	began time.Time
	limit time.Duration
}

// checkLate refuses a request that is not sure to end before a shutdown in progress does.
func (s *Server) checkLate(now time.Time, r *request.Request) *verdict.Error {
	b := s.bound.Load()
	if b == nil {
		return nil
	}
	d := drain.Decide(r.Deadline.Sub(now), now.Sub(b.began), b.limit)
	if d.Sure() {
		return nil
	}
	return verdict.Refuse(verdict.ReasonDraining, 0, "this instance is shutting down: up to %s needed, %s left",
		d.Needed.Round(time.Millisecond), d.Left.Round(time.Millisecond))
}
