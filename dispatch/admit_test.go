package dispatch

import (
	"strconv"
	"testing"
	"time"

	"celeryport/quota"
	"celeryport/request"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/verdict"
)

func TestUnservableRequestIsRefusedAtOnceWithItsReason(t *testing.T) {
	limited := &settings.Tree{Organisations: []settings.Organisation{
		{Name: "bottega", Weight: 1, Limits: settings.Limits{InFlight: 1}},
	}}
	cases := []struct {
		name   string
		change func(s *Scheduler, r *request.Request)
		reason verdict.Reason
		again  bool // a retry after a delay can succeed
	}{
		{"unknown model", func(_ *Scheduler, r *request.Request) { r.Target = "other" }, verdict.ReasonNoUpstream, true},
		{"larger than all engines", func(_ *Scheduler, r *request.Request) { r.PromptTokens = 5_000_000 }, verdict.ReasonTooLong, false},
		{"spans are switched off", func(s *Scheduler, r *request.Request) {
			s.Configure(epoch, &settings.Tree{Models: []settings.Model{{Name: "model"}}})
			r.PromptTokens = 500_000
		}, verdict.ReasonTooLong, false},
		{"no time", func(_ *Scheduler, r *request.Request) { r.Deadline = epoch.Add(time.Millisecond) }, verdict.ReasonDeadline, false},
		{"at its limit", func(s *Scheduler, _ *request.Request) { s.Configure(epoch, limited) }, verdict.ReasonLimit, true},
	}
	for _, c := range cases {
		s := newTestScheduler(3)
		r := prompt("a", 1000, epoch)
		c.change(s, r)
		s.Offer(epoch, r)
		actions := take(s)
		if len(actions) != 1 || actions[0].Kind != Refuse {
			t.Errorf("%s: %+v, want one Refuse", c.name, actions)
			continue
		}
		err := actions[0].Err
		if err.Reason != c.reason || err.Verdict != verdict.NotRun || (err.RetryAfter > 0) != c.again {
			t.Errorf("%s: refused with %v, again after %v", c.name, err, err.RetryAfter)
		}
	}
}

// Only a small organisation sends requests. If shares were hard limits, its
// requests would be refused or queued beside idle engines, in particular while
// a single prompt of a large organisation happens to wait elsewhere.
func TestIdleFleetServesAllRequestsOfASmallOrganisation(t *testing.T) {
	s := newTestScheduler(4)
	s.Configure(epoch, &settings.Tree{Organisations: []settings.Organisation{
		{Name: "bottega", Weight: 1}, {Name: "large", Weight: 99},
	}})
	s.ApplyGrants(epoch, []quota.Grant{
		{Organisation: "bottega", FleetUsage: 1e7, Lease: time.Minute},
		{Organisation: "large", FleetWaitingTokens: 50_000, Lease: time.Minute},
	})
	for i := range 8 {
		s.Offer(epoch, prompt(strconv.Itoa(i), 2000, epoch))
	}
	s.Offer(epoch, prompt("long", 100_000, epoch))
	for _, a := range take(s) {
		if a.Kind != Send {
			t.Fatalf("request %s was refused: %v", a.Request.ID, a.Err)
		}
	}
	if len(s.jobs) != 9 || s.anyWaiting() {
		t.Fatalf("%d requests, waiting %v", len(s.jobs), s.anyWaiting())
	}
}

// An organisation waits in another instance and has had less than its share.
// This instance does not see that queue; if it kept sending for the
// organisation that is ahead, the fleet-wide shares would follow the number of
// requests instead of the weights.
func TestOrganisationAheadYieldsToOneWaitingOnAnotherInstance(t *testing.T) {
	s := newTestScheduler(2)
	grants := []quota.Grant{
		{Organisation: "bottega", FleetUsage: 1e7, Lease: time.Minute},
		{Organisation: "other", FleetUsage: 1e6, FleetWaitingTokens: 5e6, Lease: time.Minute},
	}
	s.ApplyGrants(epoch, grants)
	long := prompt("a", 100_000, epoch)
	long.Deadline = epoch.Add(time.Hour)
	s.Offer(epoch, long)
	if actions := take(s); len(actions) != 0 {
		t.Fatalf("sent at once: %+v", actions)
	}
	grants[1].FleetWaitingTokens = 0
	s.ApplyGrants(epoch, grants)
	if actions := take(s); len(actions) != 1 || actions[0].Kind != Send {
		t.Fatalf("not sent after the other organisation's backlog ended: %+v", actions)
	}
}

// All engines are full, and a waiting request runs out of time. If it were
// refused only at its deadline, its caller would lose the time in which another
// fleet or a person could have answered.
func TestWaitingRequestIsRefusedOnceItCannotMeetItsDeadline(t *testing.T) {
	s := New(Config{}, rand1())
	full := func(_ int, u *upstream.Upstream) {
		u.Announcement.Load.QueuedPrefill = 4_000_000
		u.Announcement.Load.HeldTokens = testMemory
	}
	s.Observe(epoch, engines(epoch, 2, full))
	r := prompt("a", 100_000, epoch)
	r.Deadline = epoch.Add(40 * time.Second)
	s.Offer(epoch, r)
	if got := take(s); len(got) != 0 {
		t.Fatalf("at first %+v", got)
	}
	for now := epoch; now.Before(r.Deadline); {
		now = s.NextTick(now)
		s.Tick(now)
		for _, a := range take(s) {
			left := r.Remaining(now)
			if a.Kind != Refuse || left < 5*time.Second || left > 35*time.Second {
				t.Fatalf("%+v with %v left", a, left)
			}
			return
		}
	}
	t.Fatal("no answer before the deadline")
}

// A queue limit of zero forbids queueing: callers of this class prefer to ask
// another fleet. The engines are full, so the refusal must be immediate.
func TestQueueLimitOfZeroForbidsQueueing(t *testing.T) {
	s := New(Config{}, rand1())
	s.Configure(epoch, &settings.Tree{Classes: []settings.Class{{Name: "counter"}}})
	s.Observe(epoch, engines(epoch, 2, func(_ int, u *upstream.Upstream) {
		u.Announcement.Load.HeldTokens = testMemory
	}))
	s.Offer(epoch, prompt("a", 1000, epoch))
	actions := take(s)
	if len(actions) != 1 || actions[0].Kind != Refuse || actions[0].Err.Reason != verdict.ReasonQueueFull {
		t.Fatalf("got %+v", actions)
	}
}

// A large prompt waits while smaller ones keep arriving that fit beside the
// running ones. Without a cleared node each of them overtakes it, and a later
// prompt is answered before an earlier one.
func TestOverdueLargePromptGetsAClearedNode(t *testing.T) {
	s := New(Config{}, rand1())
	s.ApplyGrants(epoch, []quota.Grant{{
		Organisation: "bottega", Lease: time.Hour, FleetMix: quota.Mix{Long: 60_000},
	}})
	busy := func(_ int, u *upstream.Upstream) { u.Announcement.Load.HeldTokens = 150_000 }
	s.Observe(epoch, engines(epoch, 4, busy))
	first := prompt("large", 300_000, epoch)
	first.Deadline = epoch.Add(time.Hour)
	s.Offer(epoch, first)
	now := epoch.Add(spanClearingDelay + time.Second)
	s.Tick(now)
	s.Observe(now, engines(now, 4, busy))
	small := prompt("small", 50_000, now)
	small.Organisation = "other"
	used := map[string]bool{}
	for i := range 12 {
		one := *small
		one.ID = strconv.Itoa(i)
		s.Offer(now, &one)
	}
	for _, a := range take(s) {
		used[a.Placement.Parts[0].Name] = true
	}
	if len(used) == 0 || len(used) == 4 {
		t.Fatalf("later prompts run on %d of 4 nodes; one node must stay cleared", len(used))
	}
}

func TestPlainServicesHaveTheirOwnLimit(t *testing.T) {
	s := New(Config{}, rand1())
	s.Configure(epoch, &settings.Tree{Services: []settings.Service{{Name: "gate", InFlight: 3}}})
	s.Observe(epoch, engines(epoch, 2, func(_ int, u *upstream.Upstream) {
		u.Announcement.Kind, u.Announcement.Targets, u.Announcement.MemoryTokens = upstream.Service, []string{"gate"}, 0
		u.Announcement.Load.Running = 1 // a call of another instance
	}))
	for i := range 6 {
		r := prompt(strconv.Itoa(i), 1, epoch)
		r.Kind, r.Target = request.ServiceCall, "gate"
		s.Offer(epoch, r)
	}
	on := map[string]int{}
	for _, a := range take(s) {
		on[a.Placement.Parts[0].Name]++
	}
	if on["engine-100"] != 2 || on["engine-101"] != 2 {
		t.Fatalf("calls in flight: %v, want 2 on each", on)
	}
	s.Finish(epoch, "0", Outcome{})
	if next := take(s); len(next) != 1 || next[0].Kind != Send {
		t.Fatalf("after one ended: %+v", next)
	}
}
