package control

import (
	"encoding/json"
	"fmt"
	"testing"

	"celeryport/control/state"
	"celeryport/membership"
)

// Guards against a start of a fleet in which each instance receives every other one as plain
// text: those bytes grow with the square of the fleet.
func TestManyJoiningInstancesAreSentCompressed(t *testing.T) {
	c := newTestCore(t)
	c.group = &group{core: c, machine: state.New()}
	c.fanout = newFanout(c)
	join := func(from, to int) {
		for n := from; n < to; n++ {
			c.members.merge(began, []membership.Instance{{
				Name: fmt.Sprint("front-sala-ortigia-", n), Incarnation: 1_700_000_000_000, Address: fmt.Sprintf("10.1.%d.%d:8227", n/250, n%250),
				ControlAddress: fmt.Sprintf("10.1.%d.%d:7340", n/250, n%250), AvailabilityZone: "sala-ortigia", Region: "sicilia-est",
			}})
		}
	}
	join(0, 300)
	before := c.members.revision
	join(300, 400)
	delta := c.fanout.membersSince(before)
	plain, err := json.Marshal(delta.list)
	if err != nil {
		t.Fatal(err)
	}
	sent, err := json.Marshal(delta)
	if err != nil {
		t.Fatal(err)
	}
	if len(delta.list) != 100 || len(sent)*4 > len(plain) {
		t.Errorf("%d instances in %d bytes, %d as plain text", len(delta.list), len(sent), len(plain))
	}
	var received memberDelta
	if err := json.Unmarshal(sent, &received); err != nil || len(received.list) != 100 || received.list[99] != delta.list[99] {
		t.Errorf("received %d instances (%v)", len(received.list), err)
	}
	join(400, 401)
	if next := c.fanout.membersSince(before); len(next.list) != 101 {
		t.Errorf("%d instances after one more has joined, want 101", len(next.list))
	}
	if few := c.fanout.membersSince(c.members.revision - 1); few.packed != nil || len(few.list) != 1 {
		t.Errorf("one instance is sent as %+v", few)
	}
}
