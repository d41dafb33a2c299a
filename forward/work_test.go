package forward

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

func TestLostAnswersDontKeepTheirEngineOut(t *testing.T) {
	// Engines read a long prompt and its answer is lost on the way. Until its deadline,
	// ten seconds later, it seems to be read still, and its engines look too busy for
	// any other call, although they stand idle.
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noArrivals)
		lead, helper := &node{key: 1}, &node{key: 2}
		w := &work{lead: lead, helpers: []*node{helper}, part: 600 * time.Millisecond, tight: true}
		f.mu.Lock()
		f.begin(time.Now(), w)
		if lead.own(time.Now()).PrefillTime == 0 || helper.own(time.Now()).PrefillTime == 0 {
			t.Error("a prompt that is just sent counts as read")
		}
		f.mu.Unlock()
		time.Sleep(time.Second)
		f.mu.Lock()
		if at := lead.own(time.Now()); at.PrefillTime != 0 || at.Streams != 1 || helper.own(time.Now()).PrefillTime != 0 {
			t.Errorf("after a second %+v and %+v are under way", at, helper.own(time.Now()))
		}
		f.mu.Unlock()
		f.end(w)
		if at := lead.own(time.Now()); at != (loadshare.Load{}) || len(lead.reading)+len(helper.reading) > 0 {
			t.Errorf("at the end %+v is left", at)
		}
	})
}

func TestReadPartsDontKeepTheirEngineBusy(t *testing.T) {
	// A long prompt is read by two engines, and one of them has other work first. The
	// other one is done with its part long before the answer begins. If it counted as
	// busy until then, it would stand idle, and callers would be refused.
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noArrivals)
		late, early := &node{key: 1}, &node{key: 2}
		f.mu.Lock()
		defer f.mu.Unlock()
		first := &work{lead: late, part: time.Second}
		f.begin(time.Now(), first)
		second := &work{lead: late, helpers: []*node{early}, part: 500 * time.Millisecond}
		f.begin(time.Now(), second)
		time.Sleep(600 * time.Millisecond)
		if got := late.own(time.Now()).PrefillTime; got != 900*time.Millisecond {
			t.Errorf("%s are left to read at the engine that had work, want 900 ms", got)
		}
		if got := early.own(time.Now()).PrefillTime; got != 0 {
			t.Errorf("%s are left to read at the engine that was idle, want none", got)
		}
	})
}

func TestLateStreamsAreNotProtected(t *testing.T) {
	// A long prompt was read beside a short stream, which paused for a second. Its
	// answer is late whatever happens now. If its engine was still kept free for it, the
	// engine would read nothing until the slowed stream ends, and long prompts would be
	// refused by engines that stand idle.
	f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noArrivals)
	lead := &node{start: start{name: "e1"}, key: 1}
	w := &work{lead: lead, tight: true, held: 100}
	f.mu.Lock()
	f.begin(time.Now(), w)
	f.mu.Unlock()
	f.late(w)
	f.late(w)
	if at := lead.own(time.Now()); at.Streams != 1 || at.Tight != 0 || at.Late != 1 {
		t.Errorf("a late stream counts as %+v", at)
	}
	f.end(w)
	if at := lead.own(time.Now()); at != (loadshare.Load{}) {
		t.Errorf("at the end %+v is left", at)
	}
}

func TestAnswerIsLateByItsFirstEventOrAPause(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	route := &settings.Route{Objective: 300 * time.Millisecond, LongPause: 250 * time.Millisecond}
	for name, test := range map[string]struct {
		x    exchange
		late bool
	}{
		"nothing came yet":     {exchange{}, false},
		"in time":              {exchange{firstAt: began.Add(200 * time.Millisecond), longestPause: 250 * time.Millisecond}, false},
		"first event late":     {exchange{firstAt: began.Add(301 * time.Millisecond)}, true},
		"late since it came":   {exchange{firstAt: began.Add(200 * time.Millisecond), age: 150 * time.Millisecond}, true},
		"a pause was too long": {exchange{firstAt: began, longestPause: 251 * time.Millisecond}, true},
	} {
		x := test.x
		x.began, x.route = began, route
		if x.late() != test.late || (x.longPause() == 0) != test.late {
			t.Errorf("%s: late is %t, the rest may pause for %s", name, x.late(), x.longPause())
		}
	}
}
