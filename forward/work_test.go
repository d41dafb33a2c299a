package forward

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/loadshare"
	"celeryport/settings"
)

func TestLostAnswerDoesNotBlockItsEngines(t *testing.T) {
	// The answer to a long prompt is lost. The prompt must not count as being read until the
	// call's deadline ten seconds later: its engines would seem too busy for other calls
	// although they are idle.
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noCalls)
		lead, helper := &node{key: 1}, &node{key: 2}
		w := &work{lead: lead, helpers: []*node{helper}, part: 600 * time.Millisecond, tight: true}
		f.mu.Lock()
		f.begin(time.Now(), w)
		if lead.ownLoad(time.Now()).PrefillTime == 0 || helper.ownLoad(time.Now()).PrefillTime == 0 {
			t.Error("a prompt that was just sent does not count as being read")
		}
		f.mu.Unlock()
		time.Sleep(time.Second)
		f.mu.Lock()
		if at := lead.ownLoad(time.Now()); at.PrefillTime != 0 || at.Streams != 1 || helper.ownLoad(time.Now()).PrefillTime != 0 {
			t.Errorf("loads after a second: %+v and %+v", at, helper.ownLoad(time.Now()))
		}
		f.mu.Unlock()
		f.end(w)
		if at := lead.ownLoad(time.Now()); at != (loadshare.Load{}) || len(lead.reading)+len(helper.reading) > 0 {
			t.Errorf("load left at the end: %+v", at)
		}
	})
}

func TestEngineIsFreeAfterReadingItsPart(t *testing.T) {
	// A long prompt is read by two engines, one of which has other work first. The other one
	// finishes its part long before the answer begins. If it counted as busy until then, it
	// would idle while callers are refused.
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noCalls)
		late, early := &node{key: 1}, &node{key: 2}
		f.mu.Lock()
		defer f.mu.Unlock()
		first := &work{lead: late, part: time.Second}
		f.begin(time.Now(), first)
		second := &work{lead: late, helpers: []*node{early}, part: 500 * time.Millisecond}
		f.begin(time.Now(), second)
		time.Sleep(600 * time.Millisecond)
		if got := late.ownLoad(time.Now()).PrefillTime; got != 900*time.Millisecond {
			t.Errorf("%s left to read at the engine with other work, want 900 ms", got)
		}
		if got := early.ownLoad(time.Now()).PrefillTime; got != 0 {
			t.Errorf("%s left to read at the idle engine, want none", got)
		}
	})
}

func TestLateStreamsAreNotProtected(t *testing.T) {
	// Reading a long prompt paused a short stream on the same engine for a second, so that the
	// stream's answer is late in any case. If the engine was still protected for this stream, it
	// would read nothing until the stream ends, and long prompts would be refused while engines
	// are idle.
	f := newFleet(&Options{Process: &settings.Process{}, Random: rand.New(rand.NewPCG(1, 2))}, noCalls)
	lead := &node{incarnationID: incarnationID{name: "e1"}, key: 1}
	w := &work{lead: lead, tight: true, heldTokens: 100}
	f.mu.Lock()
	f.begin(time.Now(), w)
	f.mu.Unlock()
	f.recordLate(w)
	f.recordLate(w)
	if at := lead.ownLoad(time.Now()); at.Streams != 1 || at.Tight != 0 || at.Late != 1 {
		t.Errorf("a late stream counts as %+v", at)
	}
	f.end(w)
	if at := lead.ownLoad(time.Now()); at != (loadshare.Load{}) {
		t.Errorf("load left at the end: %+v", at)
	}
}

func TestAnswerIsLateByItsFirstEventOrAPause(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	route := &settings.Route{Objective: 300 * time.Millisecond, PauseLimit: 250 * time.Millisecond}
	for name, test := range map[string]struct {
		x    exchange
		late bool
	}{
		"no event yet":                  {exchange{}, false},
		"in time":                       {exchange{firstAt: began.Add(200 * time.Millisecond), longestPause: 250 * time.Millisecond}, false},
		"first event late":              {exchange{firstAt: began.Add(301 * time.Millisecond)}, true},
		"late including the call's age": {exchange{firstAt: began.Add(200 * time.Millisecond), age: 150 * time.Millisecond}, true},
		"a pause was too long":          {exchange{firstAt: began, longestPause: 251 * time.Millisecond}, true},
	} {
		x := test.x
		x.began, x.route = began, route
		if x.late() != test.late || (x.longPause() == 0) != test.late {
			t.Errorf("%s: late is %t, longest pause of the rest is %s", name, x.late(), x.longPause())
		}
	}
}
