package transit

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
)

// callField is the field of a call in which the instance that received it states a Call.
const callField = "Celeryport-Transit"

// Call is what an instance states about a call that another one handles for it.
type Call struct {
	From     string
	Revision uint64        // oldest settings revision with which the call may be handled
	Sends    int           // how many upstreams may still receive the call
	Waited   time.Duration // since the call arrived
	Events   int           // events that the caller has received
	Paused   time.Duration // since the last of these
	Status   int           // of the answer that the caller has a part of; 0: none, or not stated
	Type     string        // of the content of that answer
}

// Field returns the field of the call.
func (c *Call) Field() httpwire.Field {
	values := url.Values{}
	values.Set("from", c.From)
	values.Set("revision", strconv.FormatUint(c.Revision, 10))
	values.Set("sends", strconv.Itoa(c.Sends))
	values.Set("waited_ms", strconv.FormatInt(c.Waited.Milliseconds(), 10))
	values.Set("events", strconv.Itoa(c.Events))
	values.Set("paused_ms", strconv.FormatInt(c.Paused.Milliseconds(), 10))
	if c.Status != 0 {
		values.Set("status", strconv.Itoa(c.Status))
		values.Set("type", c.Type)
	}
	return httpwire.Field{Name: callField, Value: values.Encode()}
}

// TakeCall decodes the field of a call and returns the other fields.
func TakeCall(fields httpwire.Fields) (*Call, httpwire.Fields, error) {
	values, err := url.ParseQuery(fields.Get(callField))
	if err != nil {
		return nil, fields, errors.Wrap(err, "decode the fields of a call of another instance")
	}
	var failed error
	number := func(name string) int64 {
		n, err := strconv.ParseInt(values.Get(name), 10, 64)
		failed = errors.CombineErrors(failed, err)
		return max(0, n)
	}
	call := &Call{
		From: values.Get("from"), Revision: uint64(number("revision")), Sends: max(1, int(number("sends"))),
		Waited: time.Duration(number("waited_ms")) * time.Millisecond,
		Events: int(number("events")), Paused: time.Duration(number("paused_ms")) * time.Millisecond, Type: values.Get("type"),
	}
	if values.Has("status") {
		call.Status = int(number("status"))
	}
	if failed != nil {
		return nil, fields, errors.Wrap(failed, "decode the fields of a call of another instance")
	}
	kept := make(httpwire.Fields, 0, len(fields))
	for _, f := range fields {
		if !strings.EqualFold(f.Name, callField) {
			kept = append(kept, f)
		}
	}
	return call, kept, nil
}
