// Package quota divides fleet-wide limits and shares between the instances without a message per
// request: instances report their demand with each heartbeat and get grants that expire by
// themselves.
package quota

import "time"

// Demand is one instance's demand for one organisation since its last statement.
type Demand struct {
	Organisation    string  `json:"organisation"`
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"` // incoming, whether admitted or not
	InFlight        int     `json:"in_flight,omitempty"`         // requests admitted and not finished
	InFlightTokens  int     `json:"in_flight_tokens,omitempty"`  // prompt tokens admitted and not finished
	Waiting         int     `json:"waiting,omitempty"`           // queued requests

	Usage         float64 `json:"usage,omitempty"`          // tokens sent to upstreams with decay, see admission.Usage
	WaitingTokens int     `json:"waiting_tokens,omitempty"` // prompt tokens of the queued long requests
	SpanTokens    int     `json:"span_tokens,omitempty"`    // of WaitingTokens, those of prompts that need a span

	OverdueSpanTokens int `json:"overdue_span_tokens,omitempty"` // of SpanTokens, those that have waited long

	Mix Mix `json:"mix,omitzero"` // incoming prompt tokens per second, over a minute

	ServedPerSecond  float64 `json:"served_per_second,omitempty"`  // of TokensPerSecond, what was sent to upstreams; only stated where organisations have shares
	RefusedPerSecond float64 `json:"refused_per_second,omitempty"` // calls refused because of the share

	// Granted limits that this instance may still use. They keep an allocator that has just
	// started from granting the same part twice.
	GrantedInFlight        int     `json:"granted_in_flight,omitempty"`
	GrantedTokensPerSecond float64 `json:"granted_tokens_per_second,omitempty"`
}

// Grant is one instance's part of an organisation's limits, with the fleet-wide totals of the
// organisation. Limits apply only where the settings define them.
type Grant struct {
	Organisation        string        `json:"organisation"`
	Rank                int           `json:"rank,omitempty"`  // of the instance among those that reported a demand, sorted by name
	Peers               int           `json:"peers,omitempty"` // number of these instances
	TokensPerSecond     float64       `json:"tokens_per_second,omitempty"`
	InFlight            int           `json:"in_flight,omitempty"`
	FleetInFlightTokens int           `json:"fleet_in_flight_tokens,omitempty"`
	FleetDemand         float64       `json:"fleet_demand"` // incoming tokens per second over all instances
	Lease               time.Duration `json:"lease"`        // validity, from when the demand was sent

	FleetUsage         float64 `json:"fleet_usage,omitempty"`          // sum of the instances' Usage
	FleetWaitingTokens int     `json:"fleet_waiting_tokens,omitempty"` // sum of WaitingTokens
	FleetSpanTokens    int     `json:"fleet_span_tokens,omitempty"`    // sum of SpanTokens
	FleetOverdueSpans  int     `json:"fleet_overdue_spans,omitempty"`  // sum of OverdueSpanTokens
	FleetMix           Mix     `json:"fleet_mix,omitzero"`             // sum of Mix
	FleetServed        float64 `json:"fleet_served,omitempty"`         // sum of ServedPerSecond
	FleetShare         float64 `json:"fleet_share,omitempty"`          // weighted max-min share of the FleetServed of all organisations
	FleetRefused       float64 `json:"fleet_refused,omitempty"`        // sum of RefusedPerSecond
}
