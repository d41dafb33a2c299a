package reach

import (
	"testing"
	"time"

	"celeryport/loadshare"
)

var start = time.Unix(1000, 0)

// Guards against taking a lost path for the end of one upstream after the other, and against taking
// the end of a few upstreams for a lost path.
func TestPathsAreLostWhenNoneOfSeveralUpstreamsIsReached(t *testing.T) {
	type step struct {
		after time.Duration
		key   loadshare.Key // 0: a connection succeeds
	}
	ms := time.Millisecond
	for _, test := range []struct {
		name  string
		known int
		steps []step
		want  bool
	}{
		{"one upstream of many", 14, []step{{0, 1}, {ms, 1}, {ms, 1}, {ms, 1}, {ms, 1}}, false},
		{"a rack of three", 14, []step{{0, 1}, {ms, 2}, {ms, 3}}, false},
		{"four without a success", 14, []step{{0, 1}, {ms, 2}, {ms, 3}, {ms, 4}}, true},
		{"four with a success between", 14, []step{{0, 1}, {ms, 2}, {ms, 3}, {ms, 0}, {ms, 4}}, false},
		{"all of a small service", 3, []step{{0, 1}, {ms, 2}, {ms, 3}}, true},
		{"two of a small service", 3, []step{{0, 1}, {ms, 2}}, false},
		{"the only upstream", 1, []step{{0, 1}}, true},
		{"an upstream that is not listed", 0, []step{{0, 1}}, false},
		{"four over a long time", 14, []step{{0, 1}, {time.Second, 2}, {time.Second, 3}, {time.Second, 4}}, false},
		{"lost and reached again", 14, []step{{0, 1}, {ms, 2}, {ms, 3}, {ms, 4}, {ms, 0}}, false},
		{"lost for long", 14, []step{{0, 1}, {ms, 2}, {ms, 3}, {ms, 4}, {time.Hour, 5}}, true},
	} {
		var p Paths
		now := start
		for _, s := range test.steps {
			now = now.Add(s.after)
			if s.key == 0 {
				p.Connected()
				continue
			}
			p.Failed(now, s.key, test.known)
		}
		if got := p.Lost(); got != test.want {
			t.Errorf("%s: lost is %t", test.name, got)
		}
	}
}

// Guards against a loss that is announced more than once, or whose end is not.
func TestEachLossIsReportedOnce(t *testing.T) {
	var p Paths
	lost := 0
	for key := loadshare.Key(1); key <= 3*Quorum; key++ {
		if p.Failed(start, key, 3*Quorum) {
			lost++
		}
	}
	if lost != 1 || p.LostFor(start.Add(time.Second)) != time.Second {
		t.Errorf("lost %d times, for %s", lost, p.LostFor(start.Add(time.Second)))
	}
	if !p.Connected() || p.Connected() || p.Doubtful(start) || p.LostFor(start) != 0 {
		t.Error("the end of the loss is not reported once")
	}
}

// Guards against judging an upstream by a path that is not known to work, and against a doubt that
// never ends.
func TestDoubtLastsUntilAnUpstreamIsReached(t *testing.T) {
	var p Paths
	if p.Doubtful(start) {
		t.Error("doubt without a failure")
	}
	p.Failed(start, 1, 14)
	if !p.Doubtful(start) || !p.Suspected(1) || p.Suspected(2) {
		t.Error("no doubt after a failure")
	}
	if p.Doubtful(start.Add(evidenceTTL + 1)) {
		t.Error("doubt without end")
	}
	p.Connected()
	if p.Doubtful(start) || p.Suspected(1) {
		t.Error("doubt after a success")
	}
}

// Guards against opening more connections than the decision takes.
func TestMissingCountsTheUpstreamsThatDecide(t *testing.T) {
	var p Paths
	for key := range loadshare.Key(Quorum) {
		if got := p.Missing(); got != Quorum-int(key) {
			t.Errorf("%d missing after %d failures", got, key)
		}
		p.Failed(start, key, 14)
	}
	if p.Missing() != 0 {
		t.Error("some are missing although the paths are lost")
	}
}
