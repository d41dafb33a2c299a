package entry

import (
	"time"

	"celeryport/upstream/client"
	"celeryport/verdict"
)

// result is the final answer of an exchange. err is nil if the request was served.
type result struct {
	err          *verdict.Error
	service      *client.ServiceAnswer // set for a served service call
	storedAnswer []byte                // answer stored with the claim, returned to a duplicate
	answerTokens int
	cachedTokens int
	firstToken   time.Time // zero: none
	endedAt      time.Time
}

// verdict returns the verdict that the caller gets.
func (r *result) verdict() verdict.Verdict {
	if r.err == nil {
		return verdict.Ran
	}
	return r.err.Verdict
}
