package dispatch

import (
	"time"

	"celeryport/quota"
)

// sizeLanes sizes the long lane of each pool from the load of the whole fleet,
// so that the lanes of all instances are equal except for the delay of the
// grants. Each target's fraction of that load is estimated from this instance's
// own measurements.
func (s *Scheduler) sizeLanes(now time.Time) {
	var fleet quota.Mix
	waiting, spans := 0, 0
	for _, a := range s.ordered {
		fleet = fleet.Plus(a.Mix(now))
		waiting += a.FleetWaitingTokens(now)
		spans += a.FleetOverdueSpans(now)
	}
	var own quota.Mix
	for _, l := range s.targets {
		own = own.Plus(l.mix.At(now))
	}
	for target, l := range s.lanes {
		pool := s.table.Pool(target)
		if pool == nil || pool.Rate() == 0 {
			continue
		}
		mine := l.mix.At(now)
		l.load = quota.Mix{
			Small:  fleet.Small * fraction(mine.Small, own.Small) / pool.Rate(),
			Middle: fleet.Middle * fraction(mine.Middle, own.Middle) / pool.Rate(),
			Long:   fleet.Long * fraction(mine.Long, own.Long) / pool.Rate(),
		}
		pool.SizeLane(l.load, waiting, spans)
	}
}

func fraction(one, all float64) float64 {
	if all <= 0 {
		return 0
	}
	return one / all
}
