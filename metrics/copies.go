package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var ledgerUncopied = gauge("ledger", "uncopied_seconds",
	"Time since a voter last took this instance's counters. What is counted in this time is unknown if the instance is killed.")

// Copies collects the age of the last copy of the counters.
type Copies struct {
	age func() time.Duration
}

// NewCopies returns a collector. The function age returns the time since a voter last
// had all counters of this instance.
func NewCopies(age func() time.Duration) *Copies { return &Copies{age: age} }

// Describe implements prometheus.Collector.
func (c *Copies) Describe(ch chan<- *prometheus.Desc) { ch <- ledgerUncopied.desc }

// Collect implements prometheus.Collector.
func (c *Copies) Collect(ch chan<- prometheus.Metric) {
	ledgerUncopied.send(ch, c.age().Seconds())
}
