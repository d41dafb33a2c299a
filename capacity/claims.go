package capacity

import (
	"celeryport/claim"
	"celeryport/slopes"
)

// Claims is how far claims on idempotency keys reach.
type Claims struct {
	Best          slopes.Claiming // the measured load with the most claims a second
	Worst         slopes.Claiming // the measured load with the longest p99
	KeyedDay      float64         // keyed requests a second that a voter can remember for a day
	KeyedDayPart  float64         // of all requests at the target
	KeyedHour     float64
	KeyedHourPart float64
	BytesPerKeyed float64 // that one keyed request costs the fleet
}

// Claims returns what the voters' memory and the measured rates allow. The memory
// is the first to end: a full voter abstains and never forgets early.
func (m *Model) Claims() Claims {
	var c Claims
	for _, measured := range m.control.Claims {
		if measured.PerSecond > c.Best.PerSecond {
			c.Best = measured
		}
		if measured.LatencyMs.P99 > c.Worst.LatencyMs.P99 {
			c.Worst = measured
		}
	}
	c.BytesPerKeyed = c.Best.BytesEach
	c.KeyedDay = claim.DefaultMaxVotes / float64(secondsPerDay)
	c.KeyedHour = claim.DefaultMaxVotes / float64(secondsPerHour)
	c.KeyedDayPart = c.KeyedDay / m.target.RequestsPerSecond
	c.KeyedHourPart = c.KeyedHour / m.target.RequestsPerSecond
	return c
}
