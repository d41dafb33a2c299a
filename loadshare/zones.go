package loadshare

import "time"

// Zones holds the loads of the other availability zones of a fleet. One instance of each zone at
// a time aggregates and reports them. Zones is not safe for concurrent use.
//
// Without the aggregation, in a large fleet each instance would receive every report of every
// other one and spend processor time on them that delays its calls.
type Zones struct {
	own         Key
	board       *Board
	aggregators map[Key]Key // current aggregator of each zone
}

// NewZones returns an empty aggregate for an instance of the given zone.
func NewZones(own Key) *Zones {
	return &Zones{own: own, board: NewBoard(), aggregators: map[Key]Key{}}
}

// Accept applies a report of a zone and returns whether it was new. When another instance becomes
// the aggregator of a zone, its first full report replaces everything that the former one
// reported; with both together each load would be counted twice.
func (z *Zones) Accept(now time.Time, r *Report) bool {
	if r.Zone == z.own {
		return false // these instances report their loads directly
	}
	if aggregator, found := z.aggregators[r.Zone]; found && aggregator != r.Sender {
		if !r.Full {
			return false
		}
		z.board.Remove(aggregator)
	}
	z.aggregators[r.Zone] = r.Sender
	return z.board.Accept(now, r)
}

// Load returns the load of the other zones at an upstream.
func (z *Zones) Load(now time.Time, key Key) Load { return z.board.Load(now, key) }
