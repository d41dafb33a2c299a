package metrics

import "github.com/prometheus/client_golang/prometheus"

const namespace = "celeryport"

// The names of the labels.
const (
	labelOrganisation = "organisation"
	labelClass        = "class"
	labelReason       = "reason"
	labelVerdict      = "verdict"
	labelLength       = "length"
	labelState        = "state"
	labelTarget       = "target"
	labelChange       = "change"
)

// metric defines one metric of this package.
type metric struct {
	name   string
	help   string
	kind   prometheus.ValueType
	labels []string
	desc   *prometheus.Desc
}

// registered lists all metrics, for docs/METRICS.md.
var registered []*metric

func define(kind prometheus.ValueType, subsystem, name, help string, labels ...string) *metric {
	m := &metric{
		name:   prometheus.BuildFQName(namespace, subsystem, name),
		help:   help,
		kind:   kind,
		labels: labels,
	}
	m.desc = prometheus.NewDesc(m.name, help, labels, nil)
	registered = append(registered, m)
	return m
}

func counter(subsystem, name, help string, labels ...string) *metric {
	return define(prometheus.CounterValue, subsystem, name, help, labels...)
}

func gauge(subsystem, name, help string, labels ...string) *metric {
	return define(prometheus.GaugeValue, subsystem, name, help, labels...)
}

// histogram defines a histogram. Its value type is UntypedValue because Prometheus has
// no value type for histograms.
func histogram(subsystem, name, help string, labels ...string) *metric {
	return define(prometheus.UntypedValue, subsystem, name, help, labels...)
}

func (m *metric) send(ch chan<- prometheus.Metric, value float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(m.desc, m.kind, value, labels...)
}

func (m *metric) sendHistogram(ch chan<- prometheus.Metric, h *histogramBuckets, labels ...string) {
	ch <- prometheus.MustNewConstHistogram(m.desc, h.count, h.sum, h.cumulative, labels...)
}

// kindName returns the Prometheus type of the metric.
func (m *metric) kindName() string {
	switch m.kind {
	case prometheus.CounterValue:
		return "counter"
	case prometheus.GaugeValue:
		return "gauge"
	}
	return "histogram"
}
