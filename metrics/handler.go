package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"celeryport/clock"
	"celeryport/control"
	"celeryport/ledger"
)

// NewRegistry returns a registry of everything that an instance exposes.
func NewRegistry(account *ledger.Account, view func() *control.View, c clock.Clock) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		NewRequests(account, c),
		NewControl(view, c),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// Handler answers GET /metrics.
func Handler(registry *prometheus.Registry) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}
