package arbiter

import (
	"fmt"
	"testing"
	"time"

	"celeryport/fairshare"
	"celeryport/loadshare"
	"celeryport/quota"
)

// shareFleet plays the long prompts of several organisations against one arbiter on virtual time.
// Its engines finish the prefill that they were given, and the ledger gets grants like those of the
// control group.
type shareFleet struct {
	fakeFleets
	ledger *fairshare.Ledger
	until  map[loadshare.Key]time.Time
	now    time.Time
}

func (f *shareFleet) Granted(request *Request, answer *Answer) {
	loads := answer.Loads(f.Fleet("model").Profile, request)
	for key, load := range loads {
		f.until[key] = later(f.now, f.until[key]).Add(load.PrefillTime)
	}
	f.ledger.Served(f.now, request.Organisation, f.cost(request.Prompt))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *shareFleet) cost(prompt int) time.Duration {
	return fairshare.EngineTime(f.Fleet("model").Profile, prompt, 0)
}

// exchange states the demands and applies the grants.
func (f *shareFleet) exchange() {
	grants := quota.Allocate(nil, []quota.Statement{{Instance: "a", Demands: f.ledger.Demands(f.now)}})[0].Grants
	fairshare.Fill(grants, func(string) float64 { return 1 })
	f.ledger.Apply(f.now, grants)
}

// sent is a prompt whose requester repeats the request until it is answered.
type sent struct {
	request *Request
	at      time.Time
}

const (
	objective   = 4 * time.Second
	playedTime  = 30 * time.Second
	playedStep  = 10 * time.Millisecond
	otherPrompt = 200_000
	// floodPrompt is shorter than otherPrompt, so that without shares all of the flood goes first.
	floodPrompt = 150_000
	// others is the number of organisations besides the flooding one; each sends one prompt in
	// otherInterval, and together they use about half of the engines.
	others        = 8
	otherInterval = 4 * time.Second
	// floodRate is how many prompts the flooding organisation sends in otherInterval: 145 engine
	// seconds a second, about 20 times the 7.6 that the others leave of the 17 engines.
	floodRate = 200
)

// play returns how many prompts of the other organisations were late or refused, and of how many.
// The flooding organisation sends the given multiple of what each of the others sends.
func play(t *testing.T, flood int, shares bool) (late, total, floodServed int) {
	t.Helper()
	f := &shareFleet{
		fakeFleets: fakeFleets{engines: 17, loads: map[loadshare.Key]loadshare.Load{}},
		ledger:     fairshare.NewLedger(), until: map[loadshare.Key]time.Time{},
	}
	queue := NewQueue()
	if shares {
		queue.UseShares(f.ledger)
	}
	waiting := map[string]*sent{}
	send := func(organisation string, prompt, n int) {
		r := newRequest(fmt.Sprint(organisation, "/", n), prompt)
		r.Organisation, r.Objective = organisation, objective
		waiting[r.ID] = &sent{request: r, at: f.now}
		f.ledger.Offered(f.now, organisation, 1, f.cost(prompt))
	}
	for step := range int(playedTime / playedStep) {
		f.now = start.Add(time.Duration(step) * playedStep)
		for key, end := range f.until {
			f.loads[key] = loadshare.Load{PrefillTime: max(0, end.Sub(f.now))}
		}
		every := int(otherInterval / playedStep)
		if step%(every/others) == 0 {
			send(fmt.Sprint("other-", step/(every/others)%others), otherPrompt, step)
		}
		if flood > 0 && step%(every/flood) == 0 {
			send("flood", floodPrompt, step)
		}
		if step%50 == 0 {
			f.exchange()
		}
		for _, s := range waiting {
			r := *s.request
			r.Waited, r.Remaining = f.now.Sub(s.at), 15*time.Second-f.now.Sub(s.at)
			queue.Accept(f.now, &r)
		}
		for _, answer := range queue.Step(f.now, f) {
			s := waiting[answer.ID]
			delete(waiting, answer.ID)
			inTime := answer.Decision == Placed && f.now.Sub(s.at)+answer.FirstEvent <= objective
			if s.request.Organisation == "flood" {
				if answer.Decision == Placed {
					floodServed++
				}
				continue
			}
			total++
			if !inTime {
				late++
			}
		}
	}
	return late, total, floodServed
}

// Guards against one organisation that sends 20 times its share of long prompts and makes those of
// the others late.
func TestFloodOfOneOrganisationKeepsTheOthersInTime(t *testing.T) {
	without, total, _ := play(t, 0, true)
	with, flooded, served := play(t, floodRate, true)
	t.Logf("late: %d of %d without the flood, %d of %d with it; %d prompts of the flood placed", without, total, with, flooded, served)
	if flooded < total*9/10 {
		t.Errorf("only %d of %d prompts of the others were answered", flooded, total)
	}
	if with > without+total/10 {
		t.Errorf("%d of %d are late, %d of %d without the flood", with, flooded, without, total)
	}
	if served == 0 {
		t.Error("no prompt of the flooding organisation was placed")
	}
	unordered, _, _ := play(t, floodRate, false)
	t.Logf("late without shares: %d", unordered)
	if unordered < 5*max(1, with) {
		t.Errorf("only %d are late without shares: the flood is too small to show the difference", unordered)
	}
}

// limitedOnly reports every organisation but one as within its share.
type limitedOnly string

func (o limitedOnly) Standing(_ time.Time, organisation string) fairshare.Standing {
	if organisation != string(o) {
		return fairshare.Standing{}
	}
	return fairshare.Standing{Known: true, Demand: 20, Served: 2, Share: 1, Usage: 100}
}

// Guards against a limited organisation that gets nothing at all, and against prompts from older
// builds, without an organisation, that rank behind all others.
func TestAssuredAndUnknownPromptsKeepTheirPlace(t *testing.T) {
	cases := map[string]struct {
		organisation string
		assured      bool
		first        string
	}{
		"limited":     {"flood", false, "longer"},
		"assured":     {"flood", true, "shorter"},
		"older build": {"", false, "shorter"},
		"unknown":     {"new", false, "shorter"},
	}
	for name, c := range cases {
		queue, w := NewQueue(), &fakeFleets{engines: 17}
		queue.UseShares(limitedOnly("flood"))
		shorter, longer := newRequest("shorter", 300_000), newRequest("longer", 310_000)
		shorter.Organisation, shorter.Assured, longer.Organisation = c.organisation, c.assured, "other"
		queue.Accept(start, shorter)
		queue.Accept(start, longer)
		if answers := queue.Step(start, w); len(answers) == 0 || answers[0].ID != c.first {
			t.Errorf("%s: answers %+v, want %s placed first", name, answers, c.first)
		}
	}
}
