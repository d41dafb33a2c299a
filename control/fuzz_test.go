package control

import (
	"encoding/json"
	"testing"
	"time"

	"celeryport/control/state"
	"celeryport/membership"
)

func FuzzAttachedSync(f *testing.F) {
	// An instance of another version, or a faulty one, sends a malformed sync to a voter.
	// The voter must answer or reject it and continue to serve the others.
	whole, err := json.Marshal(syncRequest{Instance: membership.Instance{Name: "a", Incarnation: 1}, Attach: true, WaitMs: 500})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole, []byte{})
	f.Add([]byte(`{"attach":true,"brief":{"n":"a","i":3},"members":9,"upstreams":7}`), []byte{0x0a, 0x02})
	f.Add([]byte(`{"attach":true,"probe":true}`), []byte{})
	f.Fuzz(func(t *testing.T, stateText, announcements []byte) {
		var request syncRequest
		if json.Unmarshal(stateText, &request) != nil || request.check() != nil {
			return
		}
		request.announcements = announcements
		c := newTestCore(t)
		c.group = &group{core: c, machine: state.New()}
		c.fanout = newFanout(c)
		now := time.Unix(1_700_000_000, 0)
		reply := make(chan *syncResponse, 1)
		c.fanout.accept(now, now, &request, reply)
		c.fanout.step(now.Add(time.Minute))
		if len(reply) != 1 {
			t.Errorf("a sync got %d answers", len(reply))
		}
	})
}

func FuzzAttachedStatements(f *testing.F) {
	// The leader must handle any statement of a voter about its attached instances without
	// failing.
	f.Add([]byte(`[{"w":{"name":"a","incarnation":2},"a":3},{"b":{"n":"a","i":1}},{"b":{"n":"b","i":1,"s":2}}]`))
	f.Add([]byte(`[{}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var attached []attachedInstance
		if json.Unmarshal(text, &attached) != nil || (&syncRequest{Attached: attached}).check() != nil {
			return
		}
		c := newTestCore(t)
		now := time.Unix(1_700_000_000, 0)
		l := newLeader(now, c, 1)
		unknown, superseded := l.acceptAttached(now, attached)
		if len(unknown)+len(superseded) > len(attached) {
			t.Errorf("%d statements, %d unknown and %d superseded", len(attached), len(unknown), len(superseded))
		}
	})
}
