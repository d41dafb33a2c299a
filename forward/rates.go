package forward

import (
	"time"

	"celeryport/event"
	"celeryport/loadshare"
	"celeryport/membership"
	"celeryport/settings"
	"celeryport/throttle"
)

// rates is what this instance knows of the request rates that upstreams name, and what it
// has used of its part of them. The lock of the fleet guards it.
type rates struct {
	table   *throttle.Table
	buckets map[loadshare.Key]*throttle.Bucket
	changes []throttle.Fact // heard here and not yet told to the others
	news    chan struct{}   // there are changes
	arrival func(now time.Time, service string) float64
}

func newRates(arrival func(time.Time, string) float64) *rates {
	return &rates{
		table:   throttle.NewTable(),
		buckets: map[loadshare.Key]*throttle.Bucket{},
		news:    make(chan struct{}, 1),
		arrival: arrival,
	}
}

// noteRate takes in the rate that an answer of a node names. An answer that is none of an
// upstream that ran the call says nothing of it.
func (f *fleet) noteRate(n *node, a *Answer) {
	if a.Rate == nil && !a.Genuine {
		return
	}
	now := time.Now()
	f.mu.Lock()
	news := f.rates.table.RecordAnswer(now, n.key, a.Rate)
	if news {
		f.rates.changes = append(f.rates.changes, f.rates.table.Fact(n.key))
	}
	f.mu.Unlock()
	if !news {
		return
	}
	wake(f.rates.news)
	fields := event.Fields{"upstream": n.name, "address": n.address}
	if a.Rate != nil {
		fields["rate"] = *a.Rate
	}
	eventRateNamed.Log(f.options.Log, fields)
}

// limited reports whether a node names a rate, and if so whether this instance may send it
// a request now. The lock must be held.
func (f *fleet) limited(now time.Time, n *node) (named, open bool) {
	rate, named := f.rates.table.Rate(now, n.key)
	if !named {
		delete(f.rates.buckets, n.key)
		return false, true
	}
	bucket := f.rates.buckets[n.key]
	if bucket == nil {
		bucket = throttle.NewBucket(now)
		f.rates.buckets[n.key] = bucket
	}
	bucket.SetRate(now, f.shareOf(now, n, rate))
	return true, bucket.Open(now)
}

// shareOf returns the part of a node's rate that this instance may use. Where the node reads
// prompts, a part is set aside for the instance that places the long ones of all.
func (f *fleet) shareOf(now time.Time, n *node, rate float64) float64 {
	view := f.options.Plane.View()
	rank, instances := rankAt(n, f.options.Process, view.Instances)
	if engineProfile(view.Tree, n.service) == nil {
		return throttle.Share(rate, rank, instances, f.rates.arrival(now, n.service))
	}
	share := throttle.Share((1-arbiterPart)*rate, rank, instances, f.rates.arrival(now, n.service))
	if arbiter := firstArbiter(view.Instances, n.service, nil); arbiter != nil && arbiter.Name == f.options.Process.Name {
		share += arbiterPart * rate
	}
	return share
}

// arbiterPart is the part of a rate that is set aside for long prompts. What these leave
// goes to the short prompts of the instance that places them.
const arbiterPart = 0.8

// countLimited counts a request to a node that names a rate. The lock must be held.
func (f *fleet) countLimited(now time.Time, n *node) {
	if bucket := f.rates.buckets[n.key]; bucket != nil {
		bucket.Take(now)
	}
}

// rankAt returns the place of an instance in an order that differs with the upstream and
// that all instances agree on, and how many there are. Those of the upstream's availability
// zone come first.
func rankAt(n *node, self *settings.Process, instances []membership.Instance) (rank, count int) {
	own, near := weightFor(self.Name, n.key), self.AvailabilityZone == n.zone
	count = 1
	for i := range instances {
		other := &instances[i]
		if other.Address == "" || other.State != membership.Live || other.Name == self.Name {
			continue
		}
		count++
		otherNear := other.AvailabilityZone == n.zone
		if otherNear && !near || otherNear == near && weightFor(other.Name, n.key) > own {
			rank++
		}
	}
	return rank, count
}
