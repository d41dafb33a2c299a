package admission

import (
	"time"

	"celeryport/quota"
)

// limits are this instance's leased part of an organisation's limits.
type limits struct {
	limitedRate     bool // by the settings
	limitedInFlight bool
	grant           quota.Grant
	until           time.Time
	stated          time.Time // when the last demand was stated
	bucket          bucket
}

// Configure says which limits the settings have for the organisation.
func (a *Account) Configure(weight, retryRatio, tokensPerSecond float64, inFlight int) {
	a.Weight = weight
	a.Budget.Ratio = retryRatio
	a.limits.limitedRate = tokensPerSecond > 0
	a.limits.limitedInFlight = inFlight > 0
}

func (l *limits) granted(now time.Time, g quota.Grant) {
	sent := l.stated
	if sent.IsZero() {
		sent = now
	}
	l.grant = g
	l.until = sent.Add(g.Lease)
	l.bucket.setRate(now, g.TokensPerSecond)
}

func (l *limits) heldInFlight(now time.Time) int {
	if now.After(l.until) {
		return 0
	}
	return l.grant.InFlight
}

func (l *limits) heldRate(now time.Time) float64 {
	if now.After(l.until) {
		return 0
	}
	return l.grant.TokensPerSecond
}

// grantRetry is when a new grant is there at the latest, while control is up.
const grantRetry = time.Second

// Within says whether one more request of so many tokens is within the limits,
// and if not, when to come back. Without a valid grant a limited organisation
// has no part of the limit: other instances may hold all of it, so admitting
// would let a lost control group lift the limit.
func (a *Account) Within(now time.Time, tokens int) (bool, time.Duration) {
	l := &a.limits
	if !l.limitedRate && !l.limitedInFlight {
		return true, 0
	}
	if now.After(l.until) {
		return false, grantRetry
	}
	if l.limitedInFlight && a.InFlight >= l.grant.InFlight {
		return false, grantRetry
	}
	if l.limitedRate && !l.bucket.open(now) {
		return false, l.bucket.opensIn(now)
	}
	return true, 0
}

// Charge takes the tokens of an admitted request from the rate limit.
func (a *Account) Charge(now time.Time, tokens int) {
	if a.limits.limitedRate {
		a.limits.bucket.take(now, float64(tokens))
	}
}
