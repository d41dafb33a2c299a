package entry

import (
	"time"

	"celeryport/upstream/client"
	"celeryport/verdict"
)

// result is the final answer of an exchange. Err is nil when it was served.
type result struct {
	err          *verdict.Error
	service      *client.ServiceAnswer // of a service call that was served
	stored       []byte                // answer kept with a claim, for a duplicate
	answerTokens int
	cachedTokens int
	firstToken   time.Time // zero: none
	endedAt      time.Time
}

// verdict is what the caller is told.
func (r *result) verdict() verdict.Verdict {
	if r.err == nil {
		return verdict.Ran
	}
	return r.err.Verdict
}
