package forward

import "celeryport/event"

// noteRate notes the rate that an answer of a node names. An answer that is none of an
// upstream that ran the call says nothing of it.
func (f *fleet) noteRate(n *node, a Answer) {
	if a.Rate == nil && !a.Genuine {
		return
	}
	f.mu.Lock()
	before := n.rate
	n.rate = a.Rate
	limited := 0
	for _, other := range f.nodes {
		if other.rate != nil {
			limited++
		}
	}
	f.mu.Unlock()
	if before == nil && a.Rate == nil || before != nil && a.Rate != nil && *before == *a.Rate {
		return
	}
	f.options.Metrics.limited.Set(float64(limited))
	fields := event.Fields{"upstream": n.name, "address": n.address}
	if a.Rate != nil {
		fields["rate"] = *a.Rate
	}
	eventRateNamed.Log(f.options.Log, fields)
}
