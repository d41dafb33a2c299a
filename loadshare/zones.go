package loadshare

import "time"

// Zones sums up what the availability zones of a fleet told. For each of them one
// instance speaks at a time, and tells what all instances of the zone have under way. It
// is not safe for concurrent use.
//
// In a fleet of hundreds each instance would else get a thousand datagrams a second from
// the others, and spend on them most of the processor time that it uses.
type Zones struct {
	own      Key
	board    *Board
	speakers map[Key]Key // by zone: whose word counts
}

// NewZones returns an empty sum for an instance of a zone.
func NewZones(own Key) *Zones {
	return &Zones{own: own, board: NewBoard(), speakers: map[Key]Key{}}
}

// Take takes in a report of a zone and reports whether it was news. When another
// instance begins to speak for a zone, its first full report takes the place of what the
// former one told: both together would count each load twice.
func (z *Zones) Take(now time.Time, r *Report) bool {
	if r.Zone == z.own {
		return false // known from the instances themselves
	}
	if speaker, found := z.speakers[r.Zone]; found && speaker != r.Sender {
		if !r.Full {
			return false
		}
		z.board.Remove(speaker)
	}
	z.speakers[r.Zone] = r.Sender
	return z.board.Take(now, r)
}

// Load returns what the other zones have under way at an upstream.
func (z *Zones) Load(now time.Time, key Key) Load { return z.board.Load(now, key) }
