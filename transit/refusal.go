package transit

import (
	"net/url"
	"strconv"
	"time"

	"celeryport/httpwire"
	"celeryport/verdict"
)

// refusalField is the field of an answer that the handling instance generated itself.
const refusalField = "Celeryport-Verdict"

// Refusal is an answer that the handling instance generated itself.
type Refusal struct {
	Declined   bool // it can't handle the call, or not to its end; another instance may
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	RetryAfter time.Duration // 0: not stated
}

// Field returns the field of the answer.
func (r *Refusal) Field() httpwire.Field {
	values := url.Values{}
	if r.Declined {
		values.Set("declined", "1")
	}
	values.Set("verdict", r.Verdict.String())
	values.Set("reason", string(r.Reason))
	values.Set("retry_after_ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	return httpwire.Field{Name: refusalField, Value: values.Encode()}
}

// DecodeRefusal returns nil if the answer is one of an upstream. If the field can't be read, the call
// may have run.
func DecodeRefusal(fields httpwire.Fields) *Refusal {
	text, found := fields.Lookup(refusalField)
	if !found {
		return nil
	}
	values, err := url.ParseQuery(text)
	if err != nil {
		return &Refusal{Reason: verdict.ReasonInternal}
	}
	retryAfter, _ := strconv.ParseInt(values.Get("retry_after_ms"), 10, 64) // 0 if unreadable
	return &Refusal{
		Declined: values.Get("declined") != "", Verdict: verdict.Parse(values.Get("verdict")),
		Reason: verdict.Reason(values.Get("reason")), RetryAfter: time.Duration(retryAfter) * time.Millisecond,
	}
}
