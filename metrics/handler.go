package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/ledger"
)

// Sources provides the data that the metrics of an instance are collected from.
type Sources struct {
	Account *ledger.Account
	View    func() *control.View
	CopyAge func() time.Duration // time since the counters were last copied to a voter
	Clock   clock.Clock

	Outliers *Outliers
}

// NewRegistry returns a registry with all collectors of an instance.
func NewRegistry(s Sources) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		NewRequests(s.Account, s.Clock),
		NewControl(s.View, s.Clock),
		NewCopies(s.CopyAge),
		s.Outliers,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// Handler returns the handler of GET /metrics.
func Handler(registry *prometheus.Registry) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}
