package control

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/event"
	"celeryport/pack"
)

// fleetAnswer is the known fleet, encoded and compressed once for all instances that
// request it. When hundreds of instances that were killed at once come back, each asks
// each voter until one answers. Encoding the fleet for each of them would use up the
// voters' processor time, and none of the instances could serve requests meanwhile.
type fleetAnswer struct {
	remembered

	packed []byte // compressed JSON; nil: not compressed
	at     time.Time
}

// fleetAnswerTTL is how long a compressed fleet is reused.
const fleetAnswerTTL = 250 * time.Millisecond

// currentFleet returns the fleet known to this instance.
func (c *core) currentFleet(now time.Time) fleetAnswer {
	if c.fleetAnswer.packed != nil && now.Sub(c.fleetAnswer.at) < fleetAnswerTTL {
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

// IsZero reports whether the fleet is empty, in which case it is omitted from JSON.
func (f fleetAnswer) IsZero() bool { return len(f.Upstreams) == 0 && len(f.Instances) == 0 }

// MarshalJSON implements json.Marshaler. The result is an object, or a string if the fleet
// is compressed.
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
			return errors.Wrap(err, "decode a compressed fleet")
		}
		var err error
		if data, err = pack.Unpack(f.packed); err != nil {
			return err
		}
	}
	return errors.Wrap(json.Unmarshal(data, &f.remembered), "decode the fleet")
}
