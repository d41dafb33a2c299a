package forward

import (
	"time"

	"celeryport/event"
	"celeryport/membership"
	"celeryport/settings"
	"celeryport/throttle"
)

// rates shares the request rates that upstreams name with the other instances. The limiter is guarded by the lock of
// the fleet.
type rates struct {
	limiter  *throttle.Limiter
	changed  chan struct{} // signals that there are changes
	callRate func(now time.Time, service string) float64
}

func newRates(callRate func(time.Time, string) float64) *rates {
	return &rates{limiter: throttle.NewLimiter(), changed: make(chan struct{}, 1), callRate: callRate}
}

// recordRate records the rate named in an answer of a node. An answer without a rate withdraws
// it only if the answer is from an upstream that ran the call.
func (f *fleet) recordRate(n *node, a *Answer) {
	if a.Rate == nil && !a.Genuine {
		return
	}
	now := time.Now()
	f.mu.Lock()
	changed := f.rates.limiter.Record(now, n.key, a.Rate)
	f.mu.Unlock()
	if !changed {
		return
	}
	wake(f.rates.changed)
	fields := event.Fields{"upstream": n.name, "address": n.address}
	if a.Rate != nil {
		fields["rate"] = *a.Rate
	}
	eventRateNamed.Log(f.options.Log, fields)
}

// limited reports whether a node accepts requests at a limited rate only, and if so whether this
// instance may send it one now. A rate that the node names has priority over the usual placement;
// that of a cold node does not. The lock must be held.
func (f *fleet) limited(now time.Time, n *node) (limit limit, open bool) {
	rate, named := f.rates.limiter.Named(now, n.key)
	cold, isCold := f.coldRate(now, n)
	switch {
	case named && isCold:
		limit, rate = limitNamed, min(rate, cold)
	case named:
		limit = limitNamed
	case isCold:
		limit, rate = limitCold, cold
	default:
		f.rates.limiter.Unlimited(n.key)
		return unlimited, true
	}
	return limit, f.rates.limiter.Open(now, n.key, f.rateShare(now, n, rate))
}

// limit is why a node accepts requests at a limited rate only.
type limit uint8

const (
	unlimited  limit = iota
	limitNamed       // the upstream has named a rate
	limitCold        // the upstream is cold
)

// rateShare returns this instance's share of a node's rate. If the node is an engine that reads
// prompts, a part of the rate is reserved for the arbiter, which places the long prompts of all
// instances.
func (f *fleet) rateShare(now time.Time, n *node, rate float64) float64 {
	view := f.options.Plane.View()
	rank, instances := rankAt(n, f.options.Process, view.Instances)
	if engineProfile(view.Tree, n.service) == nil {
		return throttle.Share(rate, rank, instances, f.rates.callRate(now, n.service))
	}
	share := throttle.Share((1-arbiterRateShare)*rate, rank, instances, f.rates.callRate(now, n.service))
	if arbiter := firstArbiter(view.Instances, n.service, nil); arbiter != nil && arbiter.Name == f.options.Process.Name {
		share += arbiterRateShare * rate
	}
	return share
}

// arbiterRateShare is the part of a rate that is reserved for long prompts. What they leave
// unused goes to the short prompts of the arbiter's own calls.
const arbiterRateShare = 0.8

// rankAt returns the rank of an instance for an upstream and the number of instances. The order
// differs between upstreams and all instances compute the same one; instances of the upstream's
// availability zone come first.
func rankAt(n *node, self *settings.Process, instances []membership.Instance) (rank, count int) {
	own, near := rendezvousWeight(self.Name, n.key), self.AvailabilityZone == n.zone
	count = 1
	for i := range instances {
		other := &instances[i]
		if other.Address == "" || other.State != membership.Live || other.Name == self.Name {
			continue
		}
		count++
		otherNear := other.AvailabilityZone == n.zone
		if otherNear && !near || otherNear == near && rendezvousWeight(other.Name, n.key) > own {
			rank++
		}
	}
	return rank, count
}
