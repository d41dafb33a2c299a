package transit

import (
	"slices"
	"time"

	"celeryport/membership"
)

const (
	// MaxPeers bounds how many instances are asked to handle one call. Each that can't takes one
	// round trip.
	MaxPeers = 6
	// ownZonePeers is how many instances of the own availability zone are asked before those of
	// other zones: a zone may be cut off as a whole.
	ownZonePeers = 2
	// DeclinedFor is how long an instance that declined a call, or was not reached, is skipped.
	DeclinedFor = time.Second
)

// Peers remembers which instances can't handle calls for this one. It is not safe for concurrent
// use.
//
// It answers the load of an instance, most of an availability zone or a whole one that is
// partitioned from the upstreams: its calls are spread over all instances that still reach them.
type Peers struct {
	self     string
	zone     string
	declined map[string]time.Time // until when an instance is skipped, by name
}

// NewPeers returns the peers of an instance in an availability zone.
func NewPeers(self, zone string) *Peers {
	return &Peers{self: self, zone: zone, declined: map[string]time.Time{}}
}

// Decline records that an instance declined a call or was not reached.
func (p *Peers) Decline(now time.Time, name string) { p.declined[name] = now.Add(DeclinedFor) }

// Choose returns the instance that is asked next to handle a call, nil if there is none. tried lists
// those that were asked already; draw is uniform in [0, 1).
func (p *Peers) Choose(now time.Time, instances []membership.Instance, tried []string, draw float64) *membership.Instance {
	if len(tried) >= MaxPeers {
		return nil
	}
	own, others := 0, 0
	for i := range instances {
		switch {
		case !p.eligible(now, &instances[i], tried):
		case instances[i].AvailabilityZone == p.zone:
			own++
		default:
			others++
		}
	}
	fromOwn := own > 0 && (len(tried) < ownZonePeers || others == 0)
	left := others
	if fromOwn {
		left = own
	}
	at := min(left-1, int(draw*float64(left)))
	for i := range instances {
		one := &instances[i]
		if (one.AvailabilityZone == p.zone) != fromOwn || !p.eligible(now, one, tried) {
			continue
		}
		if at == 0 {
			return one
		}
		at--
	}
	return nil
}

// named returns the instance with a name if it takes calls and was not tried.
func (p *Peers) named(instances []membership.Instance, name string, tried []string) *membership.Instance {
	for i := range instances {
		if one := &instances[i]; one.Name == name && p.handles(one) && !slices.Contains(tried, name) {
			return one
		}
	}
	return nil
}

// Sample returns the instances that are asked whether they serve a service, also those that declined
// calls lately.
func (p *Peers) Sample(instances []membership.Instance, draw func() float64) (sample []membership.Instance) {
	all := NewPeers(p.self, p.zone)
	var names []string
	for {
		one := all.Choose(time.Time{}, instances, names, draw())
		if one == nil {
			return sample
		}
		sample, names = append(sample, *one), append(names, one.Name)
	}
}

// eligible reports whether an instance may be asked now.
func (p *Peers) eligible(now time.Time, one *membership.Instance, tried []string) bool {
	return p.handles(one) && !slices.Contains(tried, one.Name) && !now.Before(p.declined[one.Name])
}

// Exist reports whether there is any other instance that handles calls.
func (p *Peers) Exist(instances []membership.Instance) bool {
	return slices.ContainsFunc(instances, func(one membership.Instance) bool { return p.handles(&one) })
}

// handles reports whether an instance is another one that takes calls.
func (p *Peers) handles(one *membership.Instance) bool {
	return one.Name != p.self && one.State == membership.Live && one.Address != "" && one.ControlAddress != ""
}
