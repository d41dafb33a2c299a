// Package telemetry holds the metrics of forwarded calls.
package telemetry

import (
	"fmt"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"celeryport/datagram"
	"celeryport/failover"
	"celeryport/socket"
)

// Metrics are the counters and histograms of forwarded calls.
type Metrics struct {
	calls       *prometheus.CounterVec
	firstByte   *prometheus.HistogramVec
	duration    *prometheus.HistogramVec
	sends       *prometheus.CounterVec
	broken      *prometheus.CounterVec
	Connections prometheus.Gauge
	OverLimit   prometheus.Counter
	Limited     prometheus.Gauge
	rests       *prometheus.CounterVec
	withdrawn   *prometheus.CounterVec
	moves       *prometheus.CounterVec
	unmoved     *prometheus.CounterVec
	ejections   *prometheus.CounterVec
	silentSends *prometheus.CounterVec
	endless     *prometheus.CounterVec
	endChecks   *prometheus.CounterVec
	connFailed  *prometheus.CounterVec
	drained     *prometheus.CounterVec
	cuts        *prometheus.CounterVec
	unacked     *prometheus.CounterVec
	MemoryWait  prometheus.Counter // seconds
	Resting     prometheus.Gauge
	lostPaths   *prometheus.GaugeVec
	transits    *prometheus.CounterVec
	endRate     *prometheus.GaugeVec
	unreadable  *prometheus.CounterVec
	datagrams   *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	repeats     *prometheus.CounterVec
	Shares      ShareMetrics
}

// latencyBuckets range from a plain call of some milliseconds to the longest time limit of a
// prompt.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, 1, 1.5, 2.5, 4, 6, 10, 15}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_calls_total", Help: "Calls by route and how they ended.",
		}, []string{"route", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "forward_first_byte_seconds", Help: "Time from a call's first byte to that of its answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "forward_duration_seconds", Help: "Time from a call's first byte to its end.", Buckets: latencyBuckets,
		}, []string{"route"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_sends_total", Help: "Sends to upstreams by service and how they ended.",
		}, []string{"service", "outcome"}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_sends_broken_total", Help: "Sends whose upstream ended the connection, by service and how far the answer was.",
		}, []string{"service", "phase"}),
		Connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "forward_caller_connections", Help: "Open connections of callers.",
		}),
		OverLimit: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "forward_caller_connections_refused_total", Help: "Connections of callers that were refused because too many were open.",
		}),
		Limited: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "forward_upstreams_limited", Help: "Upstreams whose last answer to this instance named a rate.",
		}),
		rests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_rests_asked_total", Help: "Answers in which an upstream asked this instance for rest, by service.",
		}, []string{"service"}),
		withdrawn: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_sends_withdrawn_total", Help: "Sends not made because the upstream asked for rest, said that it leaves, or ended, after it was chosen, by service and kind of send.",
		}, []string{"service", "kind"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_moves_total", Help: "Calls moved to another engine because theirs was silent, by service and cause.",
		}, []string{"service", "cause"}),
		unmoved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_moves_withheld_total", Help: "Attempts to move a call from a silent engine that found no engine or no repeat, by service and reason.",
		}, []string{"service", "reason"}),
		Resting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "forward_upstreams_resting", Help: "Upstreams that get nothing from this instance because they asked it for rest.",
		}),
		lostPaths: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "forward_paths_lost", Help: "1 while this instance has lost its network paths to the upstreams of a service, by service.",
		}, []string{"service"}),
		transits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_transit_calls_total", Help: "Calls that other instances handled for this one (sent), that one of them did not take (declined), that this instance handled for others (handled), and that it did not take (refused).",
		}, []string{"outcome"}),
		endRate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "forward_engine_end_rate", Help: "Terminations per engine-second that this instance observed in the last ten seconds, by service.",
		}, []string{"service"}),
		unreadable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_unreadable_total", Help: "Requests that could not be read, by the status that answered them.",
		}, []string{"status"}),
		datagrams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_datagrams_total", Help: "Datagrams exchanged with other instances, by kind and direction.",
		}, []string{"kind", "direction"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "forward_datagram_bytes_total", Help: "Bytes of these datagrams, by kind and direction.",
		}, []string{"kind", "direction"}),
	}
	m.repeats = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_repeats_total", Help: "Sends beyond the first of their call that the repeat budget allowed or denied, by service.",
	}, []string{"service", "outcome"})
	m.silentSends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_sends_silent_total", Help: "Sends that were given up because their upstream was silent, by service and what was known of the upstream.",
	}, []string{"service", "observed"})
	m.ejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_outliers_total", Help: "Upstreams that this instance ceased to use because they failed calls that others answer, or that it uses again, by service and change.",
	}, []string{"service", "change"})
	m.endless = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_endless_answers_total", Help: "Answers that were ended because their bytes were without end or over a limit, by road (upstream, instance, small: polls, orders and health checks) and cause (trickle, excess, size, repeated).",
	}, []string{"road", "cause"})
	m.endChecks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_end_checks_total", Help: "Answers that ended with their connection, by service and what the check of their upstream observed.",
	}, []string{"service", "observed"})
	m.connFailed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_connection_failures_total", Help: "Connections to upstreams that failed (reset, timed out, no route) with a call on them, by service and the operation that met the error (read, write).",
	}, []string{"service", "met_by"})
	m.drained = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_drain_calls_total", Help: "Calls that arrived while this instance stops, and calls that its stop interrupted, by decision (accepted, refused, interrupted).",
	}, []string{"decision"})
	m.MemoryWait = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "forward_memory_wait_seconds_total", Help: "Time for which answers and long events were not read because the memory for answers was held by others.",
	})
	m.cuts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_answers_cut_total", Help: "Answers that this instance ended before they were complete, by service, reason and what was known of the upstream (reachable, unreachable, paths-lost, ended, none).",
	}, []string{"service", "reason", "observed"})
	m.unacked = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_answers_unacknowledged_total", Help: "Answers that were written completely, but not acknowledged completely by the caller's host when the connection was closed, by cause (caller: it closed or reset the connection, stopping: this instance stops, limit: none of these).",
	}, []string{"cause"})
	registry.MustRegister(m.unacked, m.cuts, m.drained, m.MemoryWait, m.endChecks, m.connFailed, m.endless, m.ejections, m.silentSends, m.repeats, m.calls, m.firstByte, m.duration, m.sends, m.broken, m.Connections, m.OverLimit, m.Limited, m.rests, m.withdrawn, m.moves, m.unmoved, m.Resting, m.lostPaths, m.transits, m.endRate, m.unreadable, m.datagrams, m.bytes)
	m.Shares = newShareMetrics(registry)
	return m
}

// Repeat counts a send beyond the first of its call that the repeat budget allowed or denied.
func (m *Metrics) Repeat(service string, allowed bool) {
	outcome := "denied"
	if allowed {
		outcome = "allowed"
	}
	m.repeats.WithLabelValues(service, outcome).Inc()
}

// Unreadable counts a request that could not be read, by the status that answered it.
func (m *Metrics) Unreadable(status int) {
	m.unreadable.WithLabelValues(strconv.Itoa(status)).Inc()
}

// Ended counts a call and observes its times; first is 0 if it was not answered.
func (m *Metrics) Ended(route, outcome string, first, total time.Duration) {
	m.calls.WithLabelValues(route, outcome).Inc()
	m.duration.WithLabelValues(route).Observe(total.Seconds())
	if first > 0 {
		m.firstByte.WithLabelValues(route).Observe(first.Seconds())
	}
}

// AnswerCut counts an answer that ended before it was complete, by the reason and by what was known of its upstream.
func (m *Metrics) AnswerCut(service, reason, observed string) {
	m.cuts.WithLabelValues(service, reason, observed).Inc()
}

// AnswerUnacknowledged counts an answer that was written completely and not acknowledged completely at the close of its
// connection, by the cause of the close.
func (m *Metrics) AnswerUnacknowledged(cause string) { m.unacked.WithLabelValues(cause).Inc() }

// Datagrams counts datagrams of one kind that were sent or received.
func (m *Metrics) Datagrams(kind datagram.Kind, direction string, count, size int) {
	m.datagrams.WithLabelValues(kind.String(), direction).Add(float64(count))
	m.bytes.WithLabelValues(kind.String(), direction).Add(float64(count * size))
}

// Directions of datagrams.
const (
	DatagramSent     = "sent"
	DatagramReceived = "received"
)

// RestAsked counts an answer in which an upstream asked for rest.
func (m *Metrics) RestAsked(service string) { m.rests.WithLabelValues(service).Inc() }

// PathsLost shows whether the network paths to the upstreams of a service are lost.
func (m *Metrics) PathsLost(service string, lost bool) {
	value := 0.0
	if lost {
		value = 1
	}
	m.lostPaths.WithLabelValues(service).Set(value)
}

// OutlierEjected counts upstreams that get no calls any more because they fail them, or that get calls again.
func (m *Metrics) OutlierEjected(service string, ejected bool) {
	change := "restored"
	if ejected {
		change = "ejected"
	}
	m.ejections.WithLabelValues(service, change).Inc()
}

// Outcomes of calls between a receiving and a handling instance.
const (
	TransitSent     = "sent"
	TransitDeclined = "declined"
	TransitHandled  = "handled"
	TransitRefused  = "refused"
)

// Transit counts a call between a receiving and a handling instance.
func (m *Metrics) Transit(outcome string) { m.transits.WithLabelValues(outcome).Inc() }

// EndRate shows the terminations per engine-second of a service.
func (m *Metrics) EndRate(service string, rate float64) {
	m.endRate.WithLabelValues(service).Set(rate)
}

// SendWithdrawn counts a send that was not made, by its kind.
func (m *Metrics) SendWithdrawn(service string, kind fmt.Stringer) {
	m.withdrawn.WithLabelValues(service, kind.String()).Inc()
}

// Moved counts a call that moved to another engine.
func (m *Metrics) Moved(service string, cause failover.Cause) {
	m.moves.WithLabelValues(service, cause.String()).Inc()
}

// MoveWithheld counts an attempt to move a call that changed nothing, by the reason.
func (m *Metrics) MoveWithheld(service string, reason string) {
	m.unmoved.WithLabelValues(service, reason).Inc()
}

// SendBroken counts a send whose upstream ended the connection, by how far the answer was.
func (m *Metrics) SendBroken(service string, phase fmt.Stringer) {
	m.broken.WithLabelValues(service, phase.String()).Inc()
}

// Silent counts a send that was given up because its upstream was silent.
func (m *Metrics) Silent(service string, observed failover.Contact) {
	m.silentSends.WithLabelValues(service, observed.String()).Inc()
}

// Endless counts an answer that was ended because its bytes were without end or over a limit.
func (m *Metrics) Endless(road, cause string) { m.endless.WithLabelValues(road, cause).Inc() }

// EndChecked counts an answer that ended with its connection, by what the check of its upstream observed.
func (m *Metrics) EndChecked(service, observed string) {
	m.endChecks.WithLabelValues(service, observed).Inc()
}

// ConnectionFailed counts a connection to an upstream that failed with a call on it, by the operation that met the error.
func (m *Metrics) ConnectionFailed(service string, by socket.Operation) {
	m.connFailed.WithLabelValues(service, string(by)).Inc()
}

// Sent counts a send by how it ended.
func (m *Metrics) Sent(service, outcome string) {
	m.sends.WithLabelValues(service, outcome).Inc()
}
