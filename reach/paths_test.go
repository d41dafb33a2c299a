package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	"celeryport/loadshare"
)

var start = time.Unix(1000, 0)

// step is the outcome of one new connection.
type step struct {
	after  time.Duration
	key    loadshare.Key
	failed bool
}

func fail(keys ...loadshare.Key) (steps []step) {
	for _, key := range keys {
		steps = append(steps, step{time.Millisecond, key, true})
	}
	return steps
}

func succeed(keys ...loadshare.Key) (steps []step) {
	for _, key := range keys {
		steps = append(steps, step{time.Millisecond, key, false})
	}
	return steps
}

func apply(p *Paths, known int, steps ...[]step) time.Time {
	now := start
	for _, list := range steps {
		for _, s := range list {
			now = now.Add(s.after)
			if s.failed {
				p.Failed(now, s.key, known)
			} else {
				p.Connected(s.key, known)
			}
		}
	}
	return now
}

// Guards against taking a lost path for the end of one upstream after the other, against taking the
// end of a few upstreams for a lost path, and against a state that follows single connections while
// most upstreams can't be reached.
func TestPathsAreLostWhileMostUpstreamsAreNotReached(t *testing.T) {
	for _, test := range []struct {
		name  string
		known int
		steps [][]step
		want  bool
	}{
		{"one upstream of many", 14, [][]step{fail(1, 1, 1, 1, 1, 1)}, false},
		{"three of a rack", 14, [][]step{fail(1, 2, 3)}, false},
		{"four without a success", 14, [][]step{fail(1, 2, 3, 4)}, true},
		{"four after many successes", 14, [][]step{succeed(1, 2, 3, 4, 5, 6, 7), fail(1, 2, 3, 4)}, true},
		{"a rack of five, others are reached", 14, [][]step{fail(1), succeed(6), fail(2), succeed(7), fail(3), succeed(8), fail(4), succeed(9), fail(5)}, false},
		{"most are not reached", 14, [][]step{fail(1), succeed(6), fail(2, 3), succeed(7), fail(4, 5)}, true},
		{"most are not reached, one is again", 14, [][]step{fail(1, 2, 3, 4), succeed(1), fail(2), succeed(1, 3), fail(4)}, true},
		{"all are reached again", 14, [][]step{fail(1, 2, 3, 4), succeed(5, 6, 7, 8)}, false},
		{"one is reached again and again", 14, [][]step{fail(1, 2, 3, 4), succeed(5, 5, 5, 5, 5)}, true},
		{"all of a small service", 3, [][]step{fail(1, 2, 3)}, true},
		{"all of a small service, two are back", 3, [][]step{fail(1, 2, 3), succeed(1, 2)}, false},
		{"two of a small service", 3, [][]step{fail(1, 2)}, false},
		{"the only upstream", 1, [][]step{fail(1)}, true},
		{"the only upstream is back", 1, [][]step{fail(1), succeed(1)}, false},
		{"an upstream that is not listed", 0, [][]step{fail(1)}, false},
		{"four over a long time", 14, [][]step{{{time.Second, 1, true}, {time.Second, 2, true}, {time.Second, 3, true}, {time.Second, 4, true}}}, false},
		{"lost for long", 14, [][]step{fail(1, 2, 3, 4), {{time.Hour, 5, true}}}, true},
	} {
		var p Paths
		apply(&p, test.known, test.steps...)
		if got := p.Lost(); got != test.want {
			t.Errorf("%s: lost is %t", test.name, got)
		}
	}
}

// Guards against taking the end of most upstreams for a partition: what ended them would go on.
func TestPathsAreSeveredOnlyIfNothingIsReached(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps [][]step
		want  bool
	}{
		{"nothing is reached", [][]step{succeed(1, 2, 3), fail(1, 2, 3, 4)}, true},
		{"one was reached before the loss", [][]step{fail(1), succeed(9), fail(2, 3, 4)}, false},
		{"one was reached since", [][]step{fail(1, 2, 3, 4), succeed(1), fail(1, 2)}, false},
		{"not lost", [][]step{fail(1, 2)}, false},
	} {
		var p Paths
		apply(&p, 14, test.steps...)
		if got := p.Severed(); got != test.want {
			t.Errorf("%s: severed is %t", test.name, got)
		}
	}
}

// Guards against a loss that is announced more than once, or whose end is not.
func TestEachLossIsReportedOnce(t *testing.T) {
	var p Paths
	lost, restored := 0, 0
	for key := loadshare.Key(1); key <= 12; key++ {
		if p.Failed(start, key, 12) {
			lost++
		}
	}
	if got := p.LostFor(start.Add(time.Second)); lost != 1 || got != time.Second {
		t.Errorf("lost %d times, for %s", lost, got)
	}
	for key := loadshare.Key(1); key <= 12; key++ {
		if p.Connected(key, 12) {
			restored++
		}
	}
	if restored != 1 || p.Doubtful(start) || p.LostFor(start) != 0 {
		t.Errorf("restored %d times", restored)
	}
}

// Guards against judging an upstream by a path that is not known to work, and against a doubt that
// never ends.
func TestDoubtLastsUntilUpstreamsAreReached(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps [][]step
		after time.Duration
		want  bool
	}{
		{"no failure", [][]step{succeed(1)}, 0, false},
		{"a failure", [][]step{succeed(2), fail(1)}, 0, true},
		{"a failure and a success", [][]step{fail(1), succeed(2)}, 0, false},
		{"two failures and a success", [][]step{fail(1, 3), succeed(2)}, 0, true},
		{"the upstream itself", [][]step{fail(1), succeed(1)}, 0, false},
		{"an old failure", [][]step{fail(1)}, evidenceTTL + 1, false},
		{"an old loss", [][]step{fail(1, 2, 3, 4)}, time.Hour, true},
	} {
		var p Paths
		now := apply(&p, 14, test.steps...)
		if got := p.Doubtful(now.Add(test.after)); got != test.want {
			t.Errorf("%s: doubtful is %t", test.name, got)
		}
	}
}

// Guards against a decision that takes many connections, one after the other.
func TestFewConnectionsDecide(t *testing.T) {
	for _, unreached := range []int{1, 3, 14} {
		random := rand.New(rand.NewPCG(1, uint64(unreached)))
		for range 200 {
			var p Paths
			tried := 0
			p.Failed(start, 1, 14)
			for p.Missing(start, 14) > 0 && !p.Lost() {
				key := loadshare.Key(1 + random.IntN(14))
				if p.Decided(key) {
					continue
				}
				if tried++; int(key) <= unreached {
					p.Failed(start, key, 14)
				} else {
					p.Connected(key, 14)
				}
			}
			if wantLost := unreached == 14; p.Lost() != wantLost || tried > 7 {
				t.Fatalf("%d of 14 not reached: lost is %t after %d connections", unreached, p.Lost(), tried)
			}
		}
	}
}

// Guards against paths that accept connections and pass no data and count as sound for that, and against
// taking some silent or busy upstreams for a lost path.
func TestSilentUpstreamsAreRefutedByAnswersOnly(t *testing.T) {
	silence := func(p *Paths, keys ...loadshare.Key) {
		for _, key := range keys {
			p.Connected(key, 14)
			p.Unanswered(start, key, 14)
		}
	}
	var p Paths
	silence(&p, 1, 2, 3, 4)
	for key := loadshare.Key(1); key <= 12; key++ {
		if p.Connected(key, 14) || !p.Lost() || !p.Severed() {
			t.Fatal("connections without answers restore the paths")
		}
	}
	p.Answered(1, 14)
	p.Answered(2, 14)
	p.Answered(3, 14)
	p.Failed(start, 5, 14)
	if p.Answered(1, 14) {
		t.Error("a failure does not delay the end of the loss")
	}
	p.Answered(2, 14)
	p.Answered(3, 14)
	if !p.Answered(4, 14) || p.Lost() || p.NeedsAnswer(start) {
		t.Error("answers do not restore the paths")
	}
	var frozen Paths
	for key := loadshare.Key(1); key <= 4; key++ {
		silence(&frozen, key)
		frozen.Answered(key+4, 14)
	}
	if frozen.Lost() {
		t.Error("four silent upstreams count as lost paths although four others answer")
	}
	var busy Paths
	for key := loadshare.Key(1); key <= 6; key++ {
		silence(&busy, key)
		busy.Late(key)
	}
	if busy.Lost() || busy.NeedsAnswer(start) {
		t.Error("late answers count as none")
	}
	var only Paths
	if only.Unanswered(start, 1, 1); only.Lost() || only.Doubtful(start) {
		t.Error("the silence of the only upstream counts")
	}
	var old Paths
	silence(&old, 1)
	if !old.NeedsAnswer(start) || old.NeedsAnswer(start.Add(evidenceTTL+1)) {
		t.Error("answers are asked for at other times than while some are missing")
	}
}
