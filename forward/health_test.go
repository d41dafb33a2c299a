package forward

import (
	"testing"
	"time"

	"celeryport/upstream"
)

func TestNodesAreAvoidedOnSufficientEvidence(t *testing.T) {
	// An engine becomes unreachable, or only the path from one instance to it, or only its
	// announcements are lost. If instances keep using an unreachable engine, its callers wait in
	// vain; if they avoid working engines, callers are refused while these idle.
	tests := []struct {
		name string
		health
		want bool
	}{
		{"no evidence", health{}, false},
		{"failed here", health{failed: true, reported: true}, true},
		{"one other instance failed to reach it", health{suspicions: 1}, false},
		{"two instances failed to reach it", health{suspicions: 2}, true},
		{"two instances failed to reach it, but it answers this instance", health{suspicions: 2, answered: true}, false},
		{"two instances failed to reach it, but it answers others", health{suspicions: 2, reported: true, pace: 10}, false},
		{"its announcements stopped", health{silent: true}, true},
		{"its announcements stopped, but it answers others", health{silent: true, reported: true, pace: 10}, false},
		{"it fails the calls of one instance", health{failing: 1, reported: true, pace: 10}, false},
		{"it fails the calls of two instances", health{failing: 2, reported: true, pace: 10}, true},
		{"it fails the calls of two instances, but not those of this instance", health{failing: 2, answered: true}, false},
		{"slow", health{answered: true, reported: true, pace: 40}, true},
		{"refused to help for lack of capacity", health{busy: true, answered: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.avoid(); got != test.want {
				t.Errorf("avoided: %t, want %t", got, test.want)
			}
		})
	}
}

func TestDeadEngineIsNotPolledAtItsSuccessor(t *testing.T) {
	// An engine has died and another one starts at its address. If the successor's answers to
	// polls counted for the dead engine, calls would still be sent to the dead one.
	registry := upstream.NewRegistry(time.Hour)
	now := time.Now()
	for i, name := range []string{"z-dead", "a-successor"} {
		registry.ApplyRelayed(now.Add(time.Duration(i)*time.Second), upstream.Relayed{Announcement: upstream.Announcement{
			Name: name, Incarnation: 1, Sequence: 1, Address: "10.0.1.1:80", Targets: []string{"model"},
		}})
	}
	newest := newestAt(registry.Snapshot(now), "model")
	if len(newest) != 1 || newest[0].Announcement.Name != "a-successor" {
		t.Errorf("%d upstreams are polled at one address", len(newest))
	}
	n := &node{}
	n.report.failedAt = now
	if !n.failedSince(now.Add(-time.Second)) || n.failedSince(now.Add(time.Second)) {
		t.Error("a node that did not answer must not be polled until it announces itself again")
	}
}
