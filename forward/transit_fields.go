package forward

import (
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/verdict"
)

// Fields of the messages between two instances, one of which handles a call for the other.
const (
	transitField = "Celeryport-Transit" // of a call: a transitCall
	verdictField = "Celeryport-Verdict" // of an answer that the handling instance generated itself: a transitRefusal
)

// transitCall is what an instance states about a call that another one handles for it.
type transitCall struct {
	from     string
	revision uint64        // oldest settings revision with which the call may be handled
	sends    int           // how many upstreams may still receive the call
	waited   time.Duration // since the call arrived
}

func (c *transitCall) encode() httpwire.Field {
	values := url.Values{}
	values.Set("from", c.from)
	values.Set("revision", strconv.FormatUint(c.revision, 10))
	values.Set("sends", strconv.Itoa(c.sends))
	values.Set("waited_ms", strconv.FormatInt(c.waited.Milliseconds(), 10))
	return httpwire.Field{Name: transitField, Value: values.Encode()}
}

// takeTransitCall decodes the field of a call and removes it from the fields.
func takeTransitCall(fields httpwire.Fields) (*transitCall, httpwire.Fields, error) {
	values, err := url.ParseQuery(fields.Get(transitField))
	if err != nil {
		return nil, fields, errors.Wrap(err, "decode the fields of a call of another instance")
	}
	revision, err := strconv.ParseUint(values.Get("revision"), 10, 64)
	sends, sendsErr := strconv.Atoi(values.Get("sends"))
	waited, waitedErr := strconv.ParseInt(values.Get("waited_ms"), 10, 64)
	if err := errors.CombineErrors(err, errors.CombineErrors(sendsErr, waitedErr)); err != nil {
		return nil, fields, errors.Wrap(err, "decode the fields of a call of another instance")
	}
	kept := make(httpwire.Fields, 0, len(fields))
	for _, f := range fields {
		if f.Name != transitField {
			kept = append(kept, f)
		}
	}
	return &transitCall{
		from: values.Get("from"), revision: revision, sends: max(1, sends), waited: max(0, time.Duration(waited)*time.Millisecond),
	}, kept, nil
}

// transitRefusal is an answer that the handling instance generated itself.
type transitRefusal struct {
	declined   bool // it can't handle the call, or not to its end; another instance may
	verdict    verdict.Verdict
	reason     verdict.Reason
	retryAfter time.Duration
}

func (r *transitRefusal) encode() httpwire.Field {
	values := url.Values{}
	if r.declined {
		values.Set("declined", "1")
	}
	values.Set("verdict", r.verdict.String())
	values.Set("reason", string(r.reason))
	values.Set("retry_after_ms", strconv.FormatInt(r.retryAfter.Milliseconds(), 10))
	return httpwire.Field{Name: verdictField, Value: values.Encode()}
}

// decodeTransitRefusal returns nil if the answer is one of an upstream.
func decodeTransitRefusal(fields httpwire.Fields) *transitRefusal {
	text, found := fields.Lookup(verdictField)
	if !found {
		return nil
	}
	values, _ := url.ParseQuery(text)                                       // without a readable verdict the call may have run
	retryAfter, _ := strconv.ParseInt(values.Get("retry_after_ms"), 10, 64) // 0 if unreadable
	return &transitRefusal{
		declined: values.Get("declined") != "",
		verdict:  verdict.Parse(values.Get("verdict")), reason: verdict.Reason(values.Get("reason")),
		retryAfter: time.Duration(retryAfter) * time.Millisecond,
	}
}
