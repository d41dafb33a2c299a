package loadshare

import "time"

// Zones holds what the other availability zones of a fleet have under way, as one
// instance of each, at a time, sums it up. It is not safe for concurrent use.
//
// In a large fleet each instance would else get every report of every other one, and
// spend on them processor time that its calls wait for.
type Zones struct {
	own         Key
	board       *Board
	aggregators map[Key]Key // by zone: whose word counts
}

// NewZones returns an empty sum for an instance of a zone.
func NewZones(own Key) *Zones {
	return &Zones{own: own, board: NewBoard(), aggregators: map[Key]Key{}}
}

// Take takes in a report of a zone and reports whether it was news. When another
// instance begins to sum up a zone, its first full report takes the place of what the
// former one reported: both together would count each load twice.
func (z *Zones) Take(now time.Time, r *Report) bool {
	if r.Zone == z.own {
		return false // known from the instances themselves
	}
	if aggregator, found := z.aggregators[r.Zone]; found && aggregator != r.Sender {
		if !r.Full {
			return false
		}
		z.board.Remove(aggregator)
	}
	z.aggregators[r.Zone] = r.Sender
	return z.board.Take(now, r)
}

// Load returns what the other zones have under way at an upstream.
func (z *Zones) Load(now time.Time, key Key) Load { return z.board.Load(now, key) }
