package forward

import (
	"testing"
	"time"

	"celeryport/httpwire"
	"celeryport/settings"
	"celeryport/transit"
)

// Guards against streams that are refused when another instance resumes them, because the time since
// their first byte is taken for the wait for the first event.
func TestResumedStreamIsPlacedByItsPause(t *testing.T) {
	now := time.Now()
	route := &settings.Route{Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond}
	for _, test := range []struct {
		name              string
		call              transit.Call
		objective, waited time.Duration
	}{
		{"no event yet", transit.Call{Waited: 100 * time.Millisecond}, route.Objective, 100 * time.Millisecond},
		{"in the middle", transit.Call{Waited: 1500 * time.Millisecond, Events: 3, Paused: 120 * time.Millisecond}, route.PauseLimit, 120 * time.Millisecond},
	} {
		c := &callerConn{transit: true}
		x := &exchange{route: route, began: now}
		if err := c.beginTransit(x, &httpwire.RequestHead{Fields: httpwire.Fields{test.call.Field()}}); err != nil {
			t.Fatal(err)
		}
		if objective, waited := x.nextEvent(now); objective != test.objective || waited != test.waited {
			t.Errorf("%s: has waited %s of %s", test.name, waited, objective)
		}
	}
}
