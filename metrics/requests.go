package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"celeryport/clock"
	"celeryport/ledger"
)

var (
	requestsReceived = counter("requests", "received_total", "Requests that came in.", labelOrganisation, labelClass)
	requestsServed   = counter("requests", "served_total", "Whole answers, late ones included.", labelOrganisation, labelClass)
	requestsLate     = counter("requests", "late_total", "Whole answers after their deadline.", labelOrganisation, labelClass)
	requestsRefused  = counter("requests", "refused_total", "Requests that were proved not to run, by reason.",
		labelOrganisation, labelClass, labelReason)
	requestsFailed = counter("requests", "failed_total", "Requests that failed, by reason and verdict.",
		labelOrganisation, labelClass, labelReason, labelVerdict)
	requestsInFlight = gauge("requests", "in_flight", "Requests without a final answer.", labelOrganisation, labelClass)

	tokensPrompt = counter("tokens", "prompt_total", "Prompt tokens of served requests.", labelOrganisation, labelClass)
	tokensCached = counter("tokens", "cached_total", "Prompt tokens that engines took from their prefix caches.",
		labelOrganisation, labelClass)
	tokensAnswer = counter("tokens", "answer_total", "Answer tokens of served requests.", labelOrganisation, labelClass)

	objectiveFirstTokenMissed = counter("objective", "first_token_missed_total",
		"Answers to short prompts whose first token came after the bound of the class.", labelOrganisation, labelClass)
	objectiveFirstTokenMet = counter("objective", "first_token_met_total",
		"Answers to short prompts whose first token came within the bound of the class.", labelOrganisation, labelClass)
	objectiveSlowdownMissed = counter("objective", "slowdown_missed_total",
		"Answers to short prompts that were slower than the slowdown bound of the class.", labelOrganisation, labelClass)
	objectiveSlowdownMet = counter("objective", "slowdown_met_total",
		"Answers to short prompts within the slowdown bound of the class.", labelOrganisation, labelClass)

	latencyFirstToken = histogram("latency", "first_token_seconds", "Time from arrival to the first token.", labelClass, labelLength)
	latencyTokenGap   = histogram("latency", "token_gap_seconds", "Mean time between tokens of one answer.", labelClass, labelLength)
	latencyService    = histogram("latency", "service_call_seconds", "Time from arrival to the answer of a plain service.", labelClass)
)

// plainCounters maps ledger counters to the metrics that expose them directly.
var plainCounters = map[ledger.FieldKind]*metric{
	ledger.KindReceived:         requestsReceived,
	ledger.KindServed:           requestsServed,
	ledger.KindLate:             requestsLate,
	ledger.KindPromptTokens:     tokensPrompt,
	ledger.KindCachedTokens:     tokensCached,
	ledger.KindAnswerTokens:     tokensAnswer,
	ledger.KindFirstTokenMet:    objectiveFirstTokenMet,
	ledger.KindFirstTokenMissed: objectiveFirstTokenMissed,
	ledger.KindSlowdownMet:      objectiveSlowdownMet,
	ledger.KindSlowdownMissed:   objectiveSlowdownMissed,
}

var latencyHistograms = map[ledger.FieldKind]*metric{
	ledger.KindFirstToken: latencyFirstToken,
	ledger.KindTokenGap:   latencyTokenGap,
	ledger.KindTotal:      latencyService,
}

// Requests collects metrics of the requests in the account of this instance.
type Requests struct {
	account *ledger.Account
	clock   clock.Clock
}

// NewRequests returns a collector that reads an account at each scrape.
func NewRequests(account *ledger.Account, c clock.Clock) *Requests {
	return &Requests{account: account, clock: c}
}

// Describe implements prometheus.Collector.
func (r *Requests) Describe(ch chan<- *prometheus.Desc) {
	for _, m := range plainCounters {
		ch <- m.desc
	}
	for _, m := range latencyHistograms {
		ch <- m.desc
	}
	ch <- requestsRefused.desc
	ch <- requestsFailed.desc
	ch <- requestsInFlight.desc
}

// Collect implements prometheus.Collector.
func (r *Requests) Collect(ch chan<- prometheus.Metric) {
	groups := map[group]*ledger.Counters{}
	for _, s := range r.account.Snapshot(r.clock.Now(), 0).Series {
		key := group{s.Series.Organisation, s.Series.Class}
		if groups[key] == nil {
			groups[key] = &ledger.Counters{}
		}
		groups[key].AddAll(&s.Counters)
	}
	latencies := map[latency]*histogramBuckets{}
	for key, counters := range groups {
		key.collect(counters, ch)
		key.addLatencies(counters, latencies)
	}
	for key, h := range latencies {
		key.send(h, ch)
	}
}

// group identifies one organisation and class.
type group struct {
	organisation string
	class        string
}

func (g group) collect(c *ledger.Counters, ch chan<- prometheus.Metric) {
	requestsInFlight.send(ch, float64(c.InFlight()), g.organisation, g.class)
	for i, f := range c.Fields {
		value := float64(c.Values[i])
		switch f.Kind() {
		case ledger.KindRefused:
			requestsRefused.send(ch, value, g.organisation, g.class, string(f.Reason()))
		case ledger.KindFailed:
			requestsFailed.send(ch, value, g.organisation, g.class, string(f.Reason()), f.Verdict().String())
		default:
			if m := plainCounters[f.Kind()]; m != nil {
				m.send(ch, value, g.organisation, g.class)
			}
		}
	}
}

// latency identifies one histogram. Organisations are not a label, because each of
// them would add more than 20 time series per histogram.
type latency struct {
	kind   ledger.FieldKind
	class  string
	length ledger.Length
}

func (g group) addLatencies(c *ledger.Counters, latencies map[latency]*histogramBuckets) {
	for i, f := range c.Fields {
		if latencyHistograms[f.Kind()] == nil {
			continue
		}
		key := latency{f.Kind(), g.class, f.Length()}
		if latencies[key] == nil {
			latencies[key] = newHistogramBuckets()
		}
		latencies[key].add(f.Value(), c.Values[i])
	}
}

func (l latency) send(h *histogramBuckets, ch chan<- prometheus.Metric) {
	m := latencyHistograms[l.kind]
	if len(m.labels) == 1 {
		m.sendHistogram(ch, h, l.class)
		return
	}
	m.sendHistogram(ch, h, l.class, l.length.String())
}

var _ prometheus.Collector = (*Requests)(nil)
