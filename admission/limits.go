package admission

import (
	"time"

	"celeryport/quota"
)

// limits is the part of an organisation's limits that is leased to this instance.
type limits struct {
	limitedRate     bool // set in the configuration
	limitedInFlight bool
	grant           quota.Grant
	validUntil      time.Time
	lastDemand      time.Time // when the last demand was sent
	bucket          bucket
}

// Configure sets the weight, the retry ratio and which limits the settings contain for the
// organisation.
func (a *Account) Configure(weight, retryRatio, tokensPerSecond float64, inFlight int) {
	a.Weight = weight
	a.Budget.Ratio = retryRatio
	a.limits.limitedRate = tokensPerSecond > 0
	a.limits.limitedInFlight = inFlight > 0
}

func (l *limits) applyGrant(now time.Time, g quota.Grant) {
	sent := l.lastDemand
	if sent.IsZero() {
		sent = now
	}
	l.grant = g
	l.validUntil = sent.Add(g.Lease)
	l.bucket.setRate(now, g.TokensPerSecond)
}

func (l *limits) heldInFlight(now time.Time) int {
	if now.After(l.validUntil) {
		return 0
	}
	return l.grant.InFlight
}

func (l *limits) heldRate(now time.Time) float64 {
	if now.After(l.validUntil) {
		return 0
	}
	return l.grant.TokensPerSecond
}

// grantRetry is the time within which a new grant arrives while the control group is available.
const grantRetry = time.Second

// WithinLimits reports whether one more request of the given size is within the limits, and if
// not, when to retry. Without a valid grant a limited organisation has no part of the limit: other
// instances may hold all of it, so that admitting requests would lift the limit whenever the
// control group is unavailable.
func (a *Account) WithinLimits(now time.Time, tokens int) (bool, time.Duration) {
	l := &a.limits
	if !l.limitedRate && !l.limitedInFlight {
		return true, 0
	}
	if now.After(l.validUntil) {
		return false, grantRetry
	}
	if l.limitedInFlight && a.InFlight >= l.grant.InFlight {
		return false, grantRetry
	}
	if l.limitedRate && !l.bucket.open(now) {
		return false, l.bucket.timeToOpen(now)
	}
	return true, 0
}

// Charge deducts the tokens of an admitted request from the rate limit.
func (a *Account) Charge(now time.Time, tokens int) {
	if a.limits.limitedRate {
		a.limits.bucket.take(now, float64(tokens))
	}
}
