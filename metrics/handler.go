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

// Sources are what an instance exposes.
type Sources struct {
	Account *ledger.Account
	View    func() *control.View
	CopyAge func() time.Duration // since the counters were last copied to a voter
	Clock   clock.Clock
}

// NewRegistry returns a registry of everything that an instance exposes.
func NewRegistry(s Sources) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		NewRequests(s.Account, s.Clock),
		NewControl(s.View, s.Clock),
		NewCopies(s.CopyAge),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// Handler answers GET /metrics.
func Handler(registry *prometheus.Registry) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}
