package capacity

// Losses are what goes with an instance, a rack, an availability zone or a region
// at the target size.
type Losses struct {
	InFlight        float64 // requests in flight on one instance
	InFlightPart    float64 // of the fleet's
	ZoneInstances   float64
	ZoneUpstreams   float64
	ZonePart        float64 // of the fleet's capacity
	RegionInstances float64
	RegionUpstreams float64
	RegionPart      float64
	RegionVotes     float64 // at most, when votes are spread 2 + 2 + 1
	MinutesBetween  float64 // between replacements, spread over the day
	LeaseLeftLeast  float64 // seconds that an instance's lease has left when the leader dies
	LeaseLeftMost   float64
	Unconfirmed     float64 // seconds for which one instance that is killed holds its lease
	CopiesLost      float64 // requests that a killed instance had counted and not copied, mean at most
}

// Losses counts them; nothing of it was measured at this size.
func (m *Model) Losses() Losses {
	t := &m.target
	return Losses{
		InFlight: m.inFlightEach(), InFlightPart: 1 / t.Instances,
		ZoneInstances: t.Instances / t.Zones, ZoneUpstreams: t.Upstreams / t.Zones, ZonePart: 1 / t.Zones,
		RegionInstances: m.regionInstances(), RegionUpstreams: m.regionUpstreams(), RegionPart: 1 / t.Regions, RegionVotes: 2,
		MinutesBetween: secondsPerDay / t.ReplacedPerDay / 60,
		LeaseLeftLeast: leaseSeconds - 2*syncSeconds, LeaseLeftMost: leaseSeconds - syncSeconds,
		Unconfirmed: lapseSeconds,
		CopiesLost:  m.requestsPerCopy(),
	}
}
