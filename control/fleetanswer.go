package control

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/pack"
)

// fleetAnswer is what is known of the fleet, packed for the wire once for all that ask.
// When hundreds of instances that were killed at once come back, each asks each voter
// until one answers; encoded for each of them, the fleet takes all of the voters' time,
// and none of the instances serves for as long as they ask.
type fleetAnswer struct {
	remembered

	packed []byte // as packed JSON; nil: not packed
	at     time.Time
}

// fleetAnswerKept is how long a packed fleet is given out before it is packed anew.
const fleetAnswerKept = 250 * time.Millisecond

// fleetToTell returns what this instance knows of the fleet.
func (c *core) fleetToTell(now time.Time) fleetAnswer {
	if c.fleetAnswer.packed != nil && now.Sub(c.fleetAnswer.at) < fleetAnswerKept {
		return c.fleetAnswer
	}
	if c.views.urgent {
		c.publish(now)
	}
	next, err := packFleet(rememberedOf(c.node.View()))
	if err != nil {
		eventPackFailed.Log(c.log, event.Fields{"error": err})
	}
	next.at = now
	c.fleetAnswer = next
	return next
}

func packFleet(fleet remembered) (fleetAnswer, error) {
	text, err := json.Marshal(fleet)
	if err != nil {
		return fleetAnswer{remembered: fleet}, errors.Wrap(err, "encode the fleet")
	}
	packed, err := pack.Text(text)
	return fleetAnswer{remembered: fleet, packed: packed}, err
}

// IsZero has a fleet without upstreams and instances left out.
func (f fleetAnswer) IsZero() bool { return len(f.Upstreams) == 0 && len(f.Instances) == 0 }

// MarshalJSON implements json.Marshaler: an object, or a string where it is packed.
func (f fleetAnswer) MarshalJSON() ([]byte, error) {
	if f.packed != nil {
		return json.Marshal(f.packed)
	}
	return json.Marshal(f.remembered)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *fleetAnswer) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		if err := json.Unmarshal(data, &f.packed); err != nil {
			return errors.Wrap(err, "decode a packed fleet")
		}
		var err error
		if data, err = pack.Unpack(f.packed); err != nil {
			return err
		}
	}
	return errors.Wrap(json.Unmarshal(data, &f.remembered), "decode the fleet")
}
