package metrics

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

var upstreamOutliers = counter("upstream", "outliers_total",
	"Upstreams that this instance ceased to use because they failed calls that others answer, or that it uses again, by target and change.", labelTarget, labelChange)

// Outliers counts the upstreams that get no calls any more because they fail them, and those that
// get calls again.
type Outliers struct {
	mu     sync.Mutex
	counts map[outlierChange]float64
}

type outlierChange struct{ target, change string }

// NewOutliers returns a collector without any counts.
func NewOutliers() *Outliers { return &Outliers{counts: map[outlierChange]float64{}} }

// Count counts a change at an upstream of a target.
func (o *Outliers) Count(target string, ejected bool) {
	change := "restored"
	if ejected {
		change = "ejected"
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[outlierChange{target, change}]++
}

// Describe implements prometheus.Collector.
func (o *Outliers) Describe(ch chan<- *prometheus.Desc) { ch <- upstreamOutliers.desc }

// Collect implements prometheus.Collector.
func (o *Outliers) Collect(ch chan<- prometheus.Metric) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c, count := range o.counts {
		upstreamOutliers.send(ch, count, c.target, c.change)
	}
}
