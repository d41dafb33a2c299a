package forward

import (
	"testing"
	"time"

	"celeryport/upstream"
)

func TestNodesAreAvoidedForAReason(t *testing.T) {
	// An engine goes dark, or only the path to it does, or only its announcements are
	// lost. Callers of an instance that goes on with a dark engine wait in vain; if
	// instances pass over sound engines, callers are refused while these idle.
	tests := []struct {
		name string
		health
		want bool
	}{
		{"nothing is known", health{}, false},
		{"it failed here", health{failed: true, reported: true}, true},
		{"one other instance failed", health{suspicions: 1}, false},
		{"two instances failed", health{suspicions: 2}, true},
		{"two instances failed, but it answers here", health{suspicions: 2, answered: true}, false},
		{"two instances failed, but it answers others", health{suspicions: 2, reported: true, pace: 10}, false},
		{"its announcements ceased", health{silent: true}, true},
		{"its announcements ceased, but it answers others", health{silent: true, reported: true, pace: 10}, false},
		{"it fails the calls of one instance", health{failing: 1, reported: true, pace: 10}, false},
		{"it fails the calls of two instances", health{failing: 2, reported: true, pace: 10}, true},
		{"it fails the calls of two instances, but not those from here", health{failing: 2, answered: true}, false},
		{"it is slow", health{answered: true, reported: true, pace: 40}, true},
		{"it helps as many as it can", health{busy: true, answered: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.avoid(); got != test.want {
				t.Errorf("avoided: %t, want %t", got, test.want)
			}
		})
	}
}

func TestSuccessorsDontAnswerForTheDead(t *testing.T) {
	// An engine has died, and another one starts at its address. It answers polls, and
	// the dead one would look alive: calls that are meant for it are sent in vain.
	registry := upstream.NewRegistry(time.Hour)
	now := time.Now()
	for i, name := range []string{"z-dead", "a-successor"} {
		registry.HearRelayed(now.Add(time.Duration(i)*time.Second), upstream.Relayed{Announcement: upstream.Announcement{
			Name: name, Incarnation: 1, Sequence: 1, Address: "10.0.1.1:80", Targets: []string{"model"},
		}})
	}
	newest := newestAt(registry.Snapshot(now), "model")
	if len(newest) != 1 || newest[0].Announcement.Name != "a-successor" {
		t.Errorf("%d upstreams are polled at one address", len(newest))
	}
	n := &node{}
	n.report.lostAt = now
	if !n.lostSince(now.Add(-time.Second)) || n.lostSince(now.Add(time.Second)) {
		t.Error("a node that did not answer is polled on before it has announced itself")
	}
}
