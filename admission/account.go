package admission

import (
	"time"

	"celeryport/quota"
)

// Account is one instance's state of one organisation: its weight and usage, this instance's
// part of the fleet-wide limits, and the retry budget.
type Account struct {
	Name   string
	Weight float64
	Budget Budget

	Usage        Usage   // tokens that this instance sent to upstreams, with decay
	otherUsage   float64 // usage of the other instances, as of otherUsageAt
	otherUsageAt time.Time

	InFlight       int
	InFlightTokens int
	Waiting        int
	WaitingTokens  int
	SpanTokens     int
	OverdueSpans   int // tokens of the spans that have waited long

	limits  limits
	offered Rate
	mix     MixRate
	fleet   fleetView
}

// fleetView is the fleet-wide state in the last grant, without this instance's part.
type fleetView struct {
	until         time.Time
	waitingTokens int
	spanTokens    int
	overdueSpans  int
	mix           quota.Mix
}

// NewAccount returns the account of an organisation without any history.
func NewAccount(name string) *Account {
	return &Account{Name: name, Weight: 1, Budget: NewBudget()}
}

// CountOffered counts the tokens of an incoming request, whether admitted or not.
func (a *Account) CountOffered(now time.Time, tokens int) { a.offered.Add(now, float64(tokens)) }

// OfferedPerSecond returns the recent rate of the tokens counted by CountOffered.
func (a *Account) OfferedPerSecond(now time.Time) float64 { return a.offered.PerSecond(now) }

// Share returns the decayed fleet-wide usage divided by the weight. The organisation with the
// smallest share goes first.
func (a *Account) Share(now time.Time) float64 {
	used := a.Usage.At(now) + a.otherUsage*decay(now.Sub(a.otherUsageAt))
	return used / max(a.Weight, minWeight)
}

// minWeight avoids a division by a weight of zero: such an organisation gets what the others
// leave.
const minWeight = 1e-6

// FleetWaitingTokens estimates the tokens of the organisation's queued long prompts over all
// instances.
func (a *Account) FleetWaitingTokens(now time.Time) int {
	if now.After(a.fleet.until) {
		return a.WaitingTokens
	}
	return a.WaitingTokens + a.fleet.waitingTokens
}

// FleetOverdueSpans returns the tokens of the spans that have waited long, over all instances.
func (a *Account) FleetOverdueSpans(now time.Time) int {
	if now.After(a.fleet.until) {
		return a.OverdueSpans
	}
	return a.OverdueSpans + a.fleet.overdueSpans
}

// CountPrompt adds the tokens of an incoming prompt to the mix.
func (a *Account) CountPrompt(now time.Time, tokens quota.Mix) { a.mix.Add(now, tokens) }

// Mix returns the incoming mix of the whole fleet, as far as known.
func (a *Account) Mix(now time.Time) quota.Mix {
	if now.After(a.fleet.until) {
		return a.mix.At(now)
	}
	return a.fleet.mix
}

// FleetWaitsElsewhere reports whether requests of the organisation wait on other instances, for
// a span or for the long lane.
func (a *Account) FleetWaitsElsewhere(now time.Time, span bool) bool {
	if now.After(a.fleet.until) {
		return false
	}
	if span {
		return a.fleet.spanTokens > 0
	}
	return a.fleet.waitingTokens > a.fleet.spanTokens
}

// Granted applies a grant. Its lease started when the demand was sent.
func (a *Account) Granted(now time.Time, g quota.Grant) {
	a.limits.applyGrant(now, g)
	a.otherUsage = max(0, g.FleetUsage-a.Usage.lastDemand)
	a.otherUsageAt = now
	a.fleet = fleetView{
		until:         now.Add(g.Lease),
		waitingTokens: max(0, g.FleetWaitingTokens-a.WaitingTokens),
		spanTokens:    max(0, g.FleetSpanTokens-a.SpanTokens),
		mix:           g.FleetMix,
		overdueSpans:  max(0, g.FleetOverdueSpans-a.OverdueSpans),
	}
}

// Demand returns the demand for the next heartbeat.
func (a *Account) Demand(now time.Time) quota.Demand {
	a.Usage.lastDemand = a.Usage.At(now)
	a.limits.lastDemand = now
	return quota.Demand{
		Organisation:           a.Name,
		TokensPerSecond:        a.offered.PerSecond(now),
		InFlight:               a.InFlight,
		InFlightTokens:         a.InFlightTokens,
		Waiting:                a.Waiting,
		Usage:                  a.Usage.lastDemand,
		WaitingTokens:          a.WaitingTokens,
		SpanTokens:             a.SpanTokens,
		Mix:                    a.mix.At(now),
		OverdueSpanTokens:      a.OverdueSpans,
		GrantedInFlight:        a.limits.heldInFlight(now),
		GrantedTokensPerSecond: a.limits.heldRate(now),
	}
}
