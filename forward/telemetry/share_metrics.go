package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"celeryport/fairshare"
	"celeryport/quota"
)

// ShareMetrics show the shares of the organisations that this instance has seen in the last
// seconds. Without organisation shares they have no series.
type ShareMetrics struct {
	refusals *prometheus.CounterVec
	rates    *prometheus.GaugeVec
}

func newShareMetrics(registry prometheus.Registerer) ShareMetrics {
	m := ShareMetrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_share_refusals_total", Help: "Short prompts refused because of the share of their organisation, by organisation.",
		}, []string{"organisation"}),
		rates: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "forward_share_engines", Help: "Engines' worth of work of the whole fleet, by organisation and kind: demand, served, share.",
		}, []string{"organisation", "kind"}),
	}
	registry.MustRegister(m.refusals, m.rates)
	return m
}

// Refused counts a short prompt that was refused because of the share of its organisation.
func (m *ShareMetrics) Refused(organisation string) { m.refusals.WithLabelValues(organisation).Inc() }

// Show replaces the rates by those of the organisations that were stated last. Rates are in
// microseconds of engine time per second, and are shown as numbers of engines.
func (m *ShareMetrics) Show(stated []quota.Demand, standing func(organisation string) fairshare.Standing) {
	m.rates.Reset()
	const engine = float64(time.Second / time.Microsecond)
	for _, d := range stated {
		s := standing(d.Organisation)
		if !s.Known {
			continue
		}
		for kind, rate := range map[string]float64{"demand": s.Demand, "served": s.Served, "share": s.Share} {
			m.rates.WithLabelValues(d.Organisation, kind).Set(rate / engine)
		}
	}
}
