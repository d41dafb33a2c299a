package burn

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/ledger"
	"celeryport/request"
	"celeryport/settings"
	"celeryport/verdict"
)

var testNow = time.Date(2026, 3, 3, 12, 30, 0, 0, time.UTC)

const testTree = `
[organisation.atelier]
[organisation.archivio]
[class.counter]
served_goal = 0.99
in_time_goal = 0.9
first_token = 1s
first_token_goal = 0.95
slowdown_bound = 2
objective_window = 720h
[class.quiet]
[length.short]
up_to = 4k
[model.sarto]
[service.cassa]
`

// traffic is a number of requests that end in the same way at the same time.
type traffic struct {
	ago          time.Duration
	n            int
	organisation string
	end          func(a *ledger.Account, r *request.Request)
}

func served(s ledger.Served) func(a *ledger.Account, r *request.Request) {
	s.PromptTokens, s.AnswerTokens = 900, 9
	return func(a *ledger.Account, r *request.Request) { a.Served(r, s) }
}

func refused(reason verdict.Reason) func(a *ledger.Account, r *request.Request) {
	return func(a *ledger.Account, r *request.Request) { a.Refused(r, reason) }
}

func failed(reason verdict.Reason) func(a *ledger.Account, r *request.Request) {
	return func(a *ledger.Account, r *request.Request) { a.Failed(r, reason, verdict.MayHaveRun) }
}

var goodRequest = served(ledger.Served{InTime: true, FirstToken: time.Second / 2, IdleFirstToken: time.Second / 3})

// compute counts the traffic in an account, applies its copies to a state as a voter
// does, and computes the burn from this state.
func compute(t *testing.T, all []traffic) *Table {
	t.Helper()
	parsed, err := settings.ParseTree("tree.ini", []byte(testTree))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	account := ledger.NewAccount(ledger.ID{Instance: "one", Incarnation: 1}, testNow.Add(-100*24*time.Hour), log)
	account.Configure(parsed)
	state := ledger.NewState()
	var sequence uint64
	for i, group := range all {
		sequence = state.Apply(account.Snapshot(testNow.Add(-group.ago), sequence))
		for n := range group.n {
			r := &request.Request{ID: fmt.Sprint(i, "-", n), Organisation: group.organisation, Class: "counter", Target: "sarto"}
			account.Received(r)
			group.end(account, r)
		}
		sequence = state.Apply(account.Snapshot(testNow.Add(-group.ago), sequence))
	}
	return Compute(Input{Now: testNow, Tree: parsed, State: state})
}

func objectiveOf(t *testing.T, table *Table, kind Kind) *Objective {
	t.Helper()
	for i := range table.Objectives {
		if o := &table.Objectives[i]; o.Class == "counter" && o.Kind == kind {
			return o
		}
	}
	t.Fatalf("no objective %s", kind)
	return nil
}

func TestBurnRatesAndBudget(t *testing.T) {
	const day = 24 * time.Hour
	steady := traffic{ago: 2 * day, n: 900, organisation: "atelier", end: goodRequest}
	cases := []struct {
		name    string
		kind    Kind
		traffic []traffic
		rates   map[time.Duration]float64
		left    float64
		days    float64 // -1: indefinitely
		action  string
	}{
		{
			"nothing missed", Served,
			[]traffic{steady},
			map[time.Duration]float64{5 * time.Minute: 0, 72 * time.Hour: 0},
			1, -1, "",
		},
		{
			"a tenth of current requests fail", Served,
			[]traffic{steady, {3 * time.Minute, 90, "atelier", goodRequest}, {2 * time.Minute, 10, "archivio", failed(verdict.ReasonUpstream)}},
			map[time.Duration]float64{5 * time.Minute: 10, time.Hour: 10, 72 * time.Hour: 1},
			0, 0, Page,
		},
		{
			"half failed two hours ago, fixed since", Served,
			[]traffic{
				steady,
				{130 * time.Minute, 50, "atelier", goodRequest},
				{130 * time.Minute, 50, "atelier", failed(verdict.ReasonTimeout)},
				{time.Minute, 9000, "atelier", goodRequest},
			},
			map[time.Duration]float64{5 * time.Minute: 0, time.Hour: 0, 2 * time.Hour: 0, 6 * time.Hour: 50.0 / 91},
			0.5, 0.5 * 30 / (50.0 / 91), "",
		},
		{
			"callers send invalid requests and reach their limits", Served,
			[]traffic{steady, {time.Minute, 500, "archivio", refused(verdict.ReasonLimit)}, {time.Minute, 500, "archivio", refused(verdict.ReasonBadRequest)}},
			map[time.Duration]float64{5 * time.Minute: 0},
			1, -1, "",
		},
		{
			"the fleet is full", Served,
			[]traffic{{time.Minute, 98, "atelier", goodRequest}, {time.Minute, 2, "archivio", refused(verdict.ReasonShare)}},
			map[time.Duration]float64{5 * time.Minute: 2},
			-1, 0, Ticket,
		},
		{
			"late answers", InTime,
			[]traffic{{time.Minute, 95, "atelier", goodRequest}, {time.Minute, 5, "atelier", served(ledger.Served{FirstToken: time.Second})}},
			map[time.Duration]float64{5 * time.Minute: 0.5},
			0.5, 30, "",
		},
		{
			"a late first token", FirstToken,
			[]traffic{{time.Minute, 99, "atelier", goodRequest}, {time.Minute, 1, "atelier", served(ledger.Served{InTime: true, FirstToken: 2 * time.Second})}},
			map[time.Duration]float64{5 * time.Minute: 0.2},
			0.8, 0.8 * 30 / 0.2, "",
		},
		{
			"slowed down behind a long prompt", Slowdown,
			[]traffic{{time.Minute, 99, "atelier", goodRequest}, {time.Minute, 1, "atelier", served(ledger.Served{InTime: true, FirstToken: time.Second, IdleFirstToken: time.Second / 3})}},
			map[time.Duration]float64{5 * time.Minute: 0.2},
			0.8, 0.8 * 30 / 0.2, "",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := objectiveOf(t, compute(t, c.traffic), c.kind)
			for window, want := range c.rates {
				if got := rateOf(o.Rates, window); math.Abs(got-want) > 1e-9 {
					t.Errorf("%s: rate %g instead of %g", window, got, want)
				}
			}
			checkBudget(t, o, c.left, c.days)
			if got := o.action(); got != c.action {
				t.Errorf("action %q instead of %q", got, c.action)
			}
		})
	}
}

func checkBudget(t *testing.T, o *Objective, budgetLeft, days float64) {
	t.Helper()
	if math.Abs(o.BudgetLeft-budgetLeft) > 0.01 {
		t.Errorf("budget left %g instead of %g", o.BudgetLeft, budgetLeft)
	}
	if (o.DaysLeft == nil) != (days < 0) {
		t.Fatalf("days left %v instead of %g", o.DaysLeft, days)
	}
	if o.DaysLeft != nil && math.Abs(*o.DaysLeft-days) > 0.5 {
		t.Errorf("days left %g instead of %g", *o.DaysLeft, days)
	}
}

func burningTable(t *testing.T) *Table {
	return compute(t, []traffic{
		{time.Minute, 80, "atelier", goodRequest},
		{time.Minute, 12, "archivio", failed(verdict.ReasonUpstream)},
		{time.Minute, 5, "atelier", refused(verdict.ReasonQueueFull)},
		{time.Minute, 3, "<b>atelier", failed(verdict.ReasonTimeout)},
	})
}

func TestBurnersAreOrderedByMissedRequests(t *testing.T) {
	burners := objectiveOf(t, burningTable(t), Served).Burners
	want := []Burner{
		{"archivio", "failed: upstream", 12, 0.6},
		{"atelier", "refused: queue-full", 5, 0.25},
		{"other", "failed: timeout", 3, 0.15},
	}
	if fmt.Sprint(burners) != fmt.Sprint(want) {
		t.Errorf("%v", burners)
	}
}

func TestTextShowsBarsAndBurners(t *testing.T) {
	var b bytes.Buffer
	if err := burningTable(t).WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"[..........] -1900%", "spent", "page", "archivio", "failed: upstream", "[######....] 60%", "20.0"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing in\n%s", want, b.String())
		}
	}
}

// Operators on call may open the page without access to any network except the
// fleet's. A script, style sheet or image from another host would fail to load.
func TestPageLoadsNoExternalResources(t *testing.T) {
	var b bytes.Buffer
	if err := burningTable(t).WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, external := range []string{"<script", "<link", "<img", "src=", "@import", "url(", "<?xml"} {
		if strings.Contains(text, external) {
			t.Errorf("the page contains %s", external)
		}
	}
	if n := strings.Count(text, "<svg"); n != len(kinds) {
		t.Errorf("%d charts", n)
	}
	decoder := xml.NewDecoder(strings.NewReader(text))
	decoder.Strict, decoder.Entity, decoder.AutoClose = false, xml.HTMLEntity, xml.HTMLAutoClose
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
