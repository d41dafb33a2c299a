package fairshare

import "time"

// floorFraction is the fraction of its calls that each organisation keeps on each route of an
// instance, and so in each zone, whatever its share.
const floorFraction = 1.0 / 20

// floorRetention is how long the credit of a route without calls is kept.
const floorRetention = time.Minute

// maxDebt bounds what admitted calls cost the calls after them: after any number of admitted calls,
// one of the next 40 is assured.
const maxDebt = 1

// FloorKey identifies the calls that have a minimum guarantee of their own.
type FloorKey struct {
	Organisation string
	Route        string
	Long         bool // long prompts, which are reordered instead of refused
}

// credit is what the calls of one key have earned towards the next assured one.
type credit struct {
	earned float64
	at     time.Time
}

// Floor assures a fixed fraction of the calls of each organisation and route. It is not safe for
// concurrent use.
type Floor struct {
	credits map[FloorKey]credit
	sweptAt time.Time
}

// NewFloor returns a floor without any history.
func NewFloor() *Floor { return &Floor{credits: map[FloorKey]credit{}} }

// Take counts a call that is refused unless it is assured, and reports whether it is: one in 20. draw
// is a random number between 0 and 1 that sets the initial credit: if all instances of a fleet assured
// their first call, or none, the fraction would be wrong for organisations with few calls at each
// instance.
func (f *Floor) Take(now time.Time, key FloorKey, draw float64) bool {
	c := f.earn(now, key, draw)
	if c.earned < 1 {
		return false
	}
	f.spend(key, c)
	return true
}

// Admitted counts a call that is admitted for another reason, so that calls are assured only while
// less than one in 20 is admitted.
func (f *Floor) Admitted(now time.Time, key FloorKey, draw float64) {
	f.spend(key, f.earn(now, key, draw))
}

// earn adds the part of one call to the credit of its key.
func (f *Floor) earn(now time.Time, key FloorKey, draw float64) credit {
	f.sweep(now)
	c, known := f.credits[key]
	if !known {
		c.earned = draw
	}
	c.earned += floorFraction
	c.at = now
	f.credits[key] = c
	return c
}

func (f *Floor) spend(key FloorKey, c credit) {
	c.earned = max(-maxDebt, c.earned-1)
	f.credits[key] = c
}

func (f *Floor) sweep(now time.Time) {
	if now.Sub(f.sweptAt) < time.Second {
		return
	}
	f.sweptAt = now
	for key, c := range f.credits {
		if now.Sub(c.at) > floorRetention {
			delete(f.credits, key)
		}
	}
}
