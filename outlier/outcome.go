package outlier

import (
	"time"

	"celeryport/loadshare"
	"celeryport/quarantine"
)

// Outcome is the end of a send that reached its upstream.
type Outcome struct {
	Upstream loadshare.Key
	Class    string // calls of one class are expected to fail equally often everywhere
	Request  quarantine.Fingerprint
	SentAt   time.Time
	// Minor marks less evidence than others: a failure of an upstream that did not run the call, or may only be
	// busy, or an answer that refuses the request, which a failing upstream may give too.
	Minor bool
}

// outOfTimeFraction is the fraction of a call's time after which an upstream may have had too little of it.
const outOfTimeFraction = 0.5

// OutOfTime reports whether a send that has ended now may have had too little time until its deadline, so that an
// answer which says so is no failure.
func OutOfTime(sentAt, now, deadline time.Time) bool {
	return now.Sub(sentAt).Seconds() >= outOfTimeFraction*deadline.Sub(sentAt).Seconds()
}
