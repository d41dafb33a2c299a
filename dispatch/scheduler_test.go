package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"celeryport/request"
	"celeryport/upstream"
	"celeryport/verdict"
)

const testMemory = 400_000

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engines returns a snapshot of fresh idle engines at the given time.
func engines(now time.Time, count int, change ...func(i int, u *upstream.Upstream)) *upstream.Snapshot {
	list := make([]upstream.Upstream, count)
	for i := range list {
		list[i] = upstream.Upstream{
			Announcement: upstream.Announcement{
				Name: "engine-" + strconv.Itoa(100+i), Incarnation: 1, Address: "10.0.0.1:" + strconv.Itoa(9000+i),
				Targets: []string{"model"}, MemoryTokens: testMemory, Slots: 64,
				Load: upstream.Load{PrefillRate: 20_000, DecodeRate: 50},
			},
			AnnouncedAt: now, LoadAt: now, Prefixes: upstream.NewPrefixes(nil),
		}
		for _, f := range change {
			f(i, &list[i])
		}
	}
	return upstream.NewSnapshot(1, now, list)
}

func prompt(id string, tokens int, now time.Time) *request.Request {
	return &request.Request{
		ID: id, Kind: request.Prompt, Organisation: "bottega", Class: "counter", Target: "model",
		PromptTokens: tokens, OutputTokens: 100, Arrival: now, Deadline: now.Add(time.Minute), Long: tokens > 16_000,
	}
}

func rand1() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newTestScheduler(engineCount int) *Scheduler {
	s := New(Config{}, rand1())
	s.Observe(epoch, engines(epoch, engineCount))
	return s
}

// take copies the actions, which are valid only until the next call.
func take(s Dispatcher) []Action { return append([]Action(nil), s.Actions()...) }

func TestShortPromptIsSentAtOnceAndEndsWithItsAnswer(t *testing.T) {
	s := newTestScheduler(3)
	r := prompt("a", 1000, epoch)
	s.Offer(epoch, r)
	actions := take(s)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Attempt != 1 {
		t.Fatalf("got %+v, want one first Send", actions)
	}
	s.FirstToken(epoch.Add(time.Second), "a")
	s.Finish(epoch.Add(2*time.Second), "a", Outcome{AnswerTokens: 100})
	if left := take(s); len(left) != 0 || len(s.jobs) != 0 {
		t.Fatalf("after the answer there are actions %+v and %d jobs", left, len(s.jobs))
	}
}

func TestPromptThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	s := newTestScheduler(3)
	r := prompt("a", 300_000, epoch)
	r.Deadline = epoch.Add(5 * time.Second)
	s.Offer(epoch, r)
	actions := take(s)
	if len(actions) != 1 || actions[0].Kind != Refuse {
		t.Fatalf("got %+v, want one Refuse", actions)
	}
	err := actions[0].Err
	if err.Verdict != verdict.NotRun || err.Reason != verdict.ReasonDeadline {
		t.Fatalf("refused with %v", err)
	}
}

// A connection breaks after the engine has read the call. Sending the call
// again could duplicate its effect.
func TestNonRepeatableCallIsNeverSentTwice(t *testing.T) {
	s := newTestScheduler(3)
	r := prompt("a", 1000, epoch)
	r.NoRepeat = true
	s.Offer(epoch, r)
	take(s)
	s.Finish(epoch, "a", Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonUpstream, "cut")})
	s.Tick(epoch.Add(10 * time.Second))
	actions := take(s)
	if len(actions) != 1 || actions[0].Kind != Refuse || actions[0].Err.Verdict != verdict.MayHaveRun {
		t.Fatalf("got %+v, want one Refuse that says may-have-run", actions)
	}
}
