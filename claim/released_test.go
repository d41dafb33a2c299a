package claim

import (
	"slices"
	"testing"
	"time"
)

// Guards against a key that stays held, though nothing has run, because a voter granted it to a delayed request of a
// holder that had released it while another one had the vote.
func TestDelayedRequestOfAReleasedHolderIsNotGranted(t *testing.T) {
	w := newNetwork(t, 19, "a")
	abandoned := w.claim("hold")
	delayed := slices.Clone(w.inFlight)
	w.inFlight = nil
	first := w.claim("hold")
	w.run(50 * time.Millisecond)
	w.expectState(first, Won)
	w.process(abandoned, abandoned.claimant.Abandon(w.now))
	w.run(time.Second)
	w.settle(first, Outcome{Kind: Released})
	w.run(time.Second)
	abandoned.suspended = true // its connection has ended: it gets no answer
	w.inFlight = append(w.inFlight, delayed...)
	w.run(time.Second)
	next := w.claim("hold")
	w.run(time.Second)
	w.expectState(next, Won)
}

// Guards against a voter whose memory grows with the number of releases.
func TestReleasesAreForgotten(t *testing.T) {
	r := releases{}
	for n := range maxReleases + 1 {
		r.add(startTime, Key{Key: "hold"}, Holder{Incarnation: uint64(n)})
	}
	if len(r) != maxReleases {
		t.Errorf("%d releases, want %d", len(r), maxReleases)
	}
	r.expire(startTime.Add(releaseMemory))
	if !r.has(Key{Key: "hold"}, Holder{}) {
		t.Error("forgotten too early")
	}
	r.expire(startTime.Add(releaseMemory + 1))
	if len(r) > 0 {
		t.Errorf("%d releases are kept", len(r))
	}
}
