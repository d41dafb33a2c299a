package instance

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"celeryport/control"
)

// registerTraffic registers the counters of the control traffic of a process.
func registerTraffic(registry prometheus.Registerer, t *control.SyncTraffic) {
	for _, c := range []struct {
		name, help string
		counter    *atomic.Uint64
	}{
		{"control_syncs_sent_total", "Syncs of this process that a voter answered.", &t.SyncsSent},
		{"control_syncs_answered_total", "Syncs that this voter answered.", &t.SyncsAnswered},
		{"control_statement_bytes_total", "Bytes that this process sent with syncs about itself and, as a voter, about its instances.", &t.StatementBytes},
		{"control_announcement_bytes_total", "Bytes of upstreams' announcements to this process that it sent with syncs.", &t.AnnouncementBytes},
		{"control_response_bytes_total", "Bytes of settings, members and the rest in the answers of this voter.", &t.ResponseBytes},
		{"control_relayed_bytes_total", "Bytes of upstreams' announcements in the answers of this voter.", &t.RelayedBytes},
		{"control_announcements_total", "Announcements that upstreams made to this process.", &t.AnnouncementsTaken},
	} {
		counter := c.counter
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help}, func() float64 { return float64(counter.Load()) }))
	}
}
