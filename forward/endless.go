package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/httpwire"
	"celeryport/resume"
)

// road is a way on which an instance receives answers.
type road string

const (
	roadUpstream road = "upstream" // answers to calls
	roadInstance road = "instance" // answers to calls that another instance handles
	roadSmall    road = "small"    // answers to polls, orders and health checks
)

// endlessCause returns which bound the bytes of an answer have reached, empty if none.
func endlessCause(err error, trickles bool) string {
	switch {
	case err == nil:
		return ""
	case errors.IsAny(err, errTrickled, errPeerTrickled), trickles && isTimeout(err):
		return "trickle"
	case errors.Is(err, resume.ErrRepeated):
		return "repeated"
	case httpwire.IsExcess(err):
		return "excess"
	case httpwire.StatusOf(err) == http.StatusRequestEntityTooLarge:
		return "size"
	default:
		return ""
	}
}

// recordEndless logs and counts an answer of a peer that was ended because its bytes were without end or over a limit.
func (f *fleet) recordEndless(on road, peer, address string, err error, trickles bool, more event.Fields) {
	cause := endlessCause(err, trickles)
	if cause == "" {
		return
	}
	f.options.Metrics.Endless(string(on), cause)
	fields := event.Fields{"road": string(on), "cause": cause, "peer": peer, "address": address, "error": err.Error()}
	for name, value := range more {
		fields[name] = value
	}
	eventEndless.Log(f.options.Log, fields)
}
