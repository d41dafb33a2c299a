package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/membership"
	"celeryport/upstream"
)

var (
	controlLeaseSeconds = gauge("control", "lease_seconds", "Time for which this instance may still admit; 0: it refuses everything.")
	controlQuorum       = gauge("control", "quorum", "1 if a majority of the voters was reached lately, otherwise 0.")
	controlRevision     = gauge("control", "settings_revision", "Installed revision of the settings tree, 0 before the first.")
	membershipInstances = gauge("membership", "instances", "Known instances by state.", labelState)
	upstreamKnown       = gauge("upstream", "known", "Known upstreams by state.", labelState)
)

// Control collects metrics of this instance's view of the control state.
type Control struct {
	view  func() *control.View
	clock clock.Clock
}

// NewControl returns a collector that reads the current view at each scrape.
func NewControl(view func() *control.View, c clock.Clock) *Control {
	return &Control{view: view, clock: c}
}

// Describe implements prometheus.Collector.
func (c *Control) Describe(ch chan<- *prometheus.Desc) {
	for _, m := range []*metric{controlLeaseSeconds, controlQuorum, controlRevision, membershipInstances, upstreamKnown} {
		ch <- m.desc
	}
}

// Collect implements prometheus.Collector.
func (c *Control) Collect(ch chan<- prometheus.Metric) {
	view := c.view()
	if view == nil {
		return
	}
	controlLeaseSeconds.send(ch, max(0, view.LeaseUntil.Sub(c.clock.Now()).Seconds()))
	controlQuorum.send(ch, boolToFloat(view.HasQuorum))
	controlRevision.send(ch, float64(revision(view)))
	collectInstances(view, ch)
	collectUpstreams(view, ch)
}

func revision(view *control.View) uint64 {
	if view.Tree == nil {
		return 0
	}
	return view.Tree.Revision
}

func collectInstances(view *control.View, ch chan<- prometheus.Metric) {
	counts := map[membership.State]int{}
	for _, instance := range view.Instances {
		counts[instance.State]++
	}
	for _, state := range []membership.State{membership.Live, membership.Draining, membership.Gone} {
		membershipInstances.send(ch, float64(counts[state]), state.String())
	}
}

var upstreamStates = map[upstream.State]string{
	upstream.Fresh:   "fresh",
	upstream.Silent:  "silent",
	upstream.Leaving: "leaving",
}

func collectUpstreams(view *control.View, ch chan<- prometheus.Metric) {
	counts := map[upstream.State]int{}
	if view.Upstreams != nil {
		for i := range view.Upstreams.Upstreams {
			counts[view.Upstreams.Upstreams[i].State]++
		}
	}
	for state, name := range upstreamStates {
		upstreamKnown.send(ch, float64(counts[state]), name)
	}
}

func boolToFloat(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
