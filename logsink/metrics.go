package logsink

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the counters of lines that did not reach their output.
func (w *Writer) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "log_lines_dropped_total",
			Help: "Log lines that were lost.",
		}, func() float64 { return float64(w.Dropped()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "log_lines_diverted_total",
			Help: "Log lines that were written to the other standard stream, since the output of the log failed.",
		}, func() float64 { return float64(w.Diverted()) }),
	}
}
