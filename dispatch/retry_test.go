package dispatch

import (
	"strconv"
	"testing"
	"time"

	"celeryport/settings"
	"celeryport/verdict"
)

// Every engine breaks its connections. Without a retry budget each request is
// resent repeatedly, which multiplies the load of an overloaded fleet; callers
// see growing delays instead of a clear refusal.
func TestRetriesDoNotMultiplyTheLoadOfAFailingFleet(t *testing.T) {
	s := newTestScheduler(6)
	s.Configure(epoch, &settings.Tree{Organisations: []settings.Organisation{{Name: "bottega", Weight: 1, RetryRatio: 0.1}}})
	now, sends, refusals := epoch, 0, 0
	const requests = 200
	for i := range requests {
		s.Offer(now, prompt(strconv.Itoa(i), 1000, now))
		for range 20 {
			for _, a := range take(s) {
				if a.Kind == Refuse {
					refusals++
					continue
				}
				sends++
				s.Finish(now, a.Request.ID, Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonUpstream, "cut")})
			}
			now = now.Add(100 * time.Millisecond)
			s.Observe(now, engines(now, 6))
			s.Tick(now)
		}
	}
	if refusals != requests {
		t.Fatalf("%d of %d requests were refused", refusals, requests)
	}
	if sends > requests*11/10 {
		t.Fatalf("%d sends for %d requests", sends, requests)
	}
}

func TestOnlySafeRetriesAreMade(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.ReasonUpstream, "refused")
	cut := verdict.New(verdict.MayHaveRun, verdict.ReasonUpstream, "cut")
	cases := []struct {
		name     string
		noRepeat bool
		outcome  Outcome
		again    bool
	}{
		{"not run", false, Outcome{Err: notRun}, true},
		{"not run, may not be repeated", true, Outcome{Err: notRun}, true},
		{"nothing delivered", false, Outcome{Err: cut}, true},
		{"nothing delivered, may not be repeated", true, Outcome{Err: cut}, false},
		{"partly delivered", false, Outcome{Err: cut, Delivered: true}, false},
		{"partly delivered, resumable", false, Outcome{Err: cut, Delivered: true, Resumable: true}, true},
	}
	for _, c := range cases {
		s := newTestScheduler(4)
		r := prompt("a", 1000, epoch)
		r.NoRepeat = c.noRepeat
		s.Offer(epoch, r)
		take(s)
		s.Finish(epoch, "a", c.outcome)
		now := epoch
		var after []Action
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			s.Tick(now)
			after = append(after, take(s)...)
		}
		if len(after) != 1 || (after[0].Kind == Send) != c.again {
			t.Errorf("%s: %+v, want another send: %v", c.name, after, c.again)
		}
	}
}

// A call is cut off after it may have run, is retried, and the second engine
// refuses it. If the refusal said that the call was not run, the caller would
// send it again and its effect would be duplicated.
func TestRefusalAfterASendThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	s := newTestScheduler(4)
	s.Offer(epoch, prompt("a", 1000, epoch))
	take(s)
	s.Finish(epoch, "a", Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonUpstream, "cut")})
	now := epoch
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		s.Tick(now)
		for _, a := range take(s) {
			if a.Kind == Refuse {
				if a.Err.Verdict != verdict.MayHaveRun {
					t.Fatalf("the refusal says %v", a.Err.Verdict)
				}
				return
			}
			s.Finish(now, "a", Outcome{Err: verdict.New(verdict.NotRun, verdict.ReasonUpstream, "refused")})
		}
	}
	t.Fatal("no final answer")
}

// Guards against a refusal of the last engine that is passed on as "not run" although an engine before
// it may have run the request.
func TestRefusalTooLateForAnotherSendIsNotReportedAsNotRun(t *testing.T) {
	s := newTestScheduler(4)
	r := prompt("a", 1000, epoch)
	s.Offer(epoch, r)
	take(s)
	s.Finish(epoch, "a", Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonUpstream, "cut")})
	now := epoch.Add(time.Second)
	s.Tick(now)
	if sent := take(s); len(sent) != 1 || sent[0].Kind != Send {
		t.Fatalf("got %+v, want a second send", sent)
	}
	s.Finish(r.Deadline.Add(-time.Millisecond), "a", Outcome{Err: verdict.New(verdict.NotRun, verdict.ReasonUpstream, "refused")})
	if last := take(s); len(last) != 1 || last[0].Kind != Refuse || last[0].Err.Verdict != verdict.MayHaveRun {
		t.Fatalf("got %+v, want a refusal that says that the request may have run", last)
	}
}

// A request returns from a failed engine while ten younger ones wait. If it
// were queued at the end, it would wait for all of them and lose its position
// through no fault of its caller.
func TestRequeuedRequestKeepsItsPosition(t *testing.T) {
	s := newTestScheduler(1)
	first := prompt("first", 100_000, epoch)
	s.Offer(epoch, first)
	if sent := take(s); len(sent) != 1 || sent[0].Kind != Send {
		t.Fatalf("got %+v", sent)
	}
	for i := range 10 {
		s.Offer(epoch.Add(time.Duration(i+1)*time.Millisecond), prompt("later-"+strconv.Itoa(i), 100_000, epoch.Add(time.Duration(i+1)*time.Millisecond)))
	}
	take(s)
	now := epoch.Add(time.Second)
	s.Finish(now, "first", Outcome{Err: verdict.New(verdict.MayHaveRun, verdict.ReasonUpstream, "cut")})
	waiting := take(s)
	s.Tick(now.Add(4 * time.Second))
	now = now.Add(5 * time.Second)
	s.Finish(now, waiting[0].Request.ID, Outcome{})
	s.Observe(now, engines(now, 1))
	s.Tick(now)
	for _, a := range take(s) {
		if a.Kind == Send && a.Request == first {
			return
		}
	}
	t.Fatalf("a younger request was sent before it")
}
