package admission

import (
	"time"

	"celeryport/quota"
)

// Account is what one instance keeps of one organisation: its weight and usage,
// its part of the fleet-wide limits, and its retry budget.
type Account struct {
	Name   string
	Weight float64
	Budget Budget

	Usage    Usage   // tokens that this instance sent to upstreams, decayed
	others   float64 // the same of the other instances, at othersAt
	othersAt time.Time

	InFlight       int
	InFlightTokens int
	Waiting        int
	WaitingTokens  int
	SpanTokens     int
	OverdueSpans   int // tokens of the spans that waited long

	limits  limits
	offered Rate
	mix     MixRate
	fleet   fleetView
}

// fleetView is what the last grant said of the fleet, less this instance's part.
type fleetView struct {
	until         time.Time
	waitingTokens int
	spanTokens    int
	overdueSpans  int
	mix           quota.Mix
}

// NewAccount returns the account of an organisation that nothing is known of.
func NewAccount(name string) *Account {
	return &Account{Name: name, Weight: 1, Budget: NewBudget()}
}

// Offered counts the tokens of a request that was offered, admitted or not.
func (a *Account) Offered(now time.Time, tokens int) { a.offered.Add(now, float64(tokens)) }

// Share is the decayed usage over the fleet divided by the weight. The
// organisation with the least share goes first.
func (a *Account) Share(now time.Time) float64 {
	used := a.Usage.At(now) + a.others*decay(now.Sub(a.othersAt))
	return used / max(a.Weight, minWeight)
}

// minWeight keeps a weight of zero from dividing by zero: such an organisation
// gets what the others leave.
const minWeight = 1e-6

// FleetWaitingTokens is the estimate of the organisation's queued long prompts,
// in tokens, over all instances.
func (a *Account) FleetWaitingTokens(now time.Time) int {
	if now.After(a.fleet.until) {
		return a.WaitingTokens
	}
	return a.WaitingTokens + a.fleet.waitingTokens
}

// FleetOverdueSpans is the tokens of the spans that waited long, over all
// instances.
func (a *Account) FleetOverdueSpans(now time.Time) int {
	if now.After(a.fleet.until) {
		return a.OverdueSpans
	}
	return a.OverdueSpans + a.fleet.overdueSpans
}

// Prompted counts the tokens of an offered prompt in the mix.
func (a *Account) Prompted(now time.Time, tokens quota.Mix) { a.mix.Add(now, tokens) }

// Mix is the offered mix over the whole fleet, as far as is known.
func (a *Account) Mix(now time.Time) quota.Mix {
	if now.After(a.fleet.until) {
		return a.mix.At(now)
	}
	return a.fleet.mix
}

// FleetWaitsElsewhere says whether requests of the organisation wait in other
// instances, for a span or for the long lane.
func (a *Account) FleetWaitsElsewhere(now time.Time, span bool) bool {
	if now.After(a.fleet.until) {
		return false
	}
	if span {
		return a.fleet.spanTokens > 0
	}
	return a.fleet.waitingTokens > a.fleet.spanTokens
}

// Granted installs a grant. Its lease started when the demand was sent.
func (a *Account) Granted(now time.Time, g quota.Grant) {
	a.limits.granted(now, g)
	a.others = max(0, g.FleetUsage-a.Usage.stated)
	a.othersAt = now
	a.fleet = fleetView{
		until:         now.Add(g.Lease),
		waitingTokens: max(0, g.FleetWaitingTokens-a.WaitingTokens),
		spanTokens:    max(0, g.FleetSpanTokens-a.SpanTokens),
		mix:           g.FleetMix,
		overdueSpans:  max(0, g.FleetOverdueSpans-a.OverdueSpans),
	}
}

// Demand returns the statement for the next heartbeat.
func (a *Account) Demand(now time.Time) quota.Demand {
	a.Usage.stated = a.Usage.At(now)
	a.limits.stated = now
	return quota.Demand{
		Organisation:           a.Name,
		TokensPerSecond:        a.offered.PerSecond(now),
		InFlight:               a.InFlight,
		InFlightTokens:         a.InFlightTokens,
		Waiting:                a.Waiting,
		Usage:                  a.Usage.stated,
		WaitingTokens:          a.WaitingTokens,
		SpanTokens:             a.SpanTokens,
		Mix:                    a.mix.At(now),
		OverdueSpanTokens:      a.OverdueSpans,
		GrantedInFlight:        a.limits.heldInFlight(now),
		GrantedTokensPerSecond: a.limits.heldRate(now),
	}
}
