package transit

import (
	"net/url"
	"strconv"
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
}

// Field returns the field of the call.
func (c *Call) Field() httpwire.Field {
	values := url.Values{}
	values.Set("from", c.From)
	values.Set("revision", strconv.FormatUint(c.Revision, 10))
	values.Set("sends", strconv.Itoa(c.Sends))
	values.Set("waited_ms", strconv.FormatInt(c.Waited.Milliseconds(), 10))
	return httpwire.Field{Name: callField, Value: values.Encode()}
}

// TakeCall decodes the field of a call and returns the other fields.
func TakeCall(fields httpwire.Fields) (*Call, httpwire.Fields, error) {
	values, err := url.ParseQuery(fields.Get(callField))
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
		if f.Name != callField {
			kept = append(kept, f)
		}
	}
	return &Call{
		From: values.Get("from"), Revision: revision, Sends: max(1, sends), Waited: max(0, time.Duration(waited)*time.Millisecond),
	}, kept, nil
}
