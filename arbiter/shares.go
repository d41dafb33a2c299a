package arbiter

import (
	"time"

	"celeryport/fairshare"
)

// Shares supplies the position of organisations in the fleet to the arbiter.
type Shares interface {
	Standing(now time.Time, organisation string) fairshare.Standing
}

// UseShares orders the waiting prompts by the shares of their organisations from now on; nil orders
// them without.
func (q *Queue) UseShares(shares Shares) { q.shares = shares }

// score returns the rank of a prompt by the share of its organisation, lowest first. A prompt of an
// unknown organisation, or from an older build, ranks like one within its share.
func (q *Queue) score(now time.Time, w *pending) float64 {
	r := w.request
	if q.shares == nil || r.Organisation == "" || r.Assured {
		return 0
	}
	waited := r.Waited + w.age + now.Sub(w.receivedAt)
	return q.shares.Standing(now, r.Organisation).Score(waited, r.Objective)
}
