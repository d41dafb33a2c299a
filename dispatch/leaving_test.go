package dispatch

import (
	"fmt"
	"testing"
	"time"

	"celeryport/upstream"
)

const (
	leavingFreshFor = 3 * time.Second
	leavingBound    = 5 * time.Second // from the announcement to the last new request
)

func announced(sequence uint64, leaving bool) upstream.Announcement {
	return upstream.Announcement{
		Name: "e1", Incarnation: 1, Sequence: sequence, Address: "10.0.0.1:9000", Leaving: leaving,
		Targets: []string{"model"}, MemoryTokens: testMemory, Slots: 64,
		Load: upstream.Load{PrefillRate: 20_000, DecodeRate: 50},
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	// An engine announces at second 1 that it is leaving. The announcement does
	// not reach this instance, or is overtaken by an older one, or the control
	// goroutine hangs and no newer snapshot is published. New requests sent to
	// the engine a few seconds later would be cut off when it stops.
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	const leaves = 1.0
	tests := map[string]struct {
		hear  func(r *upstream.Registry)
		views []float64 // when snapshots are published, in seconds
		last  float64   // latest time at which a request may be sent, in seconds
	}{
		"heard": {
			hear: func(r *upstream.Registry) {
				r.Apply(at(0), announced(1, false))
				r.Apply(at(leaves), announced(2, true))
			},
			views: []float64{leaves}, last: leaves,
		},
		"received before an older one": {
			hear: func(r *upstream.Registry) {
				r.Apply(at(leaves), announced(3, true))
				r.Apply(at(leaves+0.5), announced(2, false))
			},
			views: []float64{leaves + 0.5}, last: 0,
		},
		"never heard": {
			hear:  func(r *upstream.Registry) { r.Apply(at(0.9), announced(1, false)) },
			views: []float64{0.9, 2, 3, 4, 5, 6}, last: 0.9 + leavingFreshFor.Seconds(),
		},
		"never heard, control hangs": {
			hear:  func(r *upstream.Registry) { r.Apply(at(0.9), announced(1, false)) },
			views: []float64{0.9}, last: 0.9 + leavingFreshFor.Seconds(),
		},
		"never heard, only a late relay of an older one": {
			hear: func(r *upstream.Registry) {
				r.ApplyRelayed(at(2.5), upstream.Relayed{Announcement: announced(1, false), Age: 2 * time.Second})
			},
			views: []float64{2.5}, last: 0.5 + leavingFreshFor.Seconds(),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			registry := upstream.NewRegistry(leavingFreshFor)
			test.hear(registry)
			s := New(Config{}, rand1())
			lastSent := -1.0
			for tick := range 100 {
				now := at(float64(tick) / 10)
				for _, v := range test.views {
					if at(v).Equal(now) {
						s.Observe(now, registry.Snapshot(now))
					}
				}
				s.Tick(now)
				s.Offer(now, prompt(fmt.Sprint(tick), 1000, now))
				for _, a := range take(s) {
					if a.Kind == Send {
						lastSent = float64(tick) / 10
						s.Finish(now, a.Request.ID, Outcome{AnswerTokens: 1})
					}
				}
			}
			if lastSent > test.last+0.05 {
				t.Errorf("work was sent at second %.1f, the last allowed is %.1f", lastSent, test.last)
			}
			if lastSent > leaves+leavingBound.Seconds() {
				t.Errorf("work was sent %.1f s after the announcement", lastSent-leaves)
			}
		})
	}
}
