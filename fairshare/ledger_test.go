package fairshare

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"celeryport/quota"
)

func grantFor(organisation string) quota.Grant {
	return quota.Grant{Organisation: organisation, Lease: quota.DefaultLease, FleetDemand: 8e6, FleetServed: 4e6, FleetUsage: 9e6, FleetShare: 1e6}
}

// Guards against decisions by totals that are old, broken or come from a build without shares.
func TestUnusableGrantsCountAsAbsent(t *testing.T) {
	cases := map[string]func(g *quota.Grant){
		"negative demand": func(g *quota.Grant) { g.FleetDemand = -1 },
		"no number":       func(g *quota.Grant) { g.FleetServed = math.NaN() },
		"implausible":     func(g *quota.Grant) { g.FleetUsage = 1e30 },
		"older build":     func(g *quota.Grant) { g.FleetShare, g.FleetServed = 0, 0 },
		"no lease":        func(g *quota.Grant) { g.Lease = 0 },
	}
	for name, spoil := range cases {
		l := NewLedger()
		l.Offered(start, "a", 1, time.Second)
		g := grantFor("a")
		spoil(&g)
		l.Apply(start, []quota.Grant{g})
		if l.Standing(start, "a").Known {
			t.Errorf("%s: the grant is used", name)
		}
	}
	l := NewLedger()
	l.Offered(start, "a", 1, time.Second)
	l.Apply(start, []quota.Grant{grantFor("a"), grantFor("unseen")})
	if s := l.Standing(start, "a"); !s.Known || !s.Limited() {
		t.Errorf("a valid grant gives %+v", s)
	}
	if l.Standing(start.Add(quota.DefaultLease+time.Millisecond), "a").Known {
		t.Error("the grant is used after its lease")
	}
	if len(l.entries) != 1 {
		t.Errorf("%d organisations are kept, want only the one that was seen", len(l.entries))
	}
}

// Guards against statements that grow with the organisations of the fleet, and against usage that is
// kept for ever.
func TestStatementsAndStateAreBounded(t *testing.T) {
	const organisations, maxBytes = 260, 1000
	l := NewLedger()
	for n := range organisations {
		name := fmt.Sprint("organisation-", n)
		l.Offered(start, name, 1, time.Duration(n)*time.Millisecond)
		l.Served(start, name, time.Duration(n)*time.Millisecond)
	}
	demands := l.Demands(start.Add(time.Second))
	data, err := json.Marshal(demands)
	if err != nil || len(data) > maxBytes || demands[0].Organisation != Rest || demands[1].Organisation != "organisation-259" {
		t.Errorf("%d bytes, %v, first %+v", len(data), err, demands[0])
	}
	total := 0.0
	for _, d := range demands {
		total += d.ServedPerSecond
	}
	if want := 33.67e6 / 4 * math.Exp(-0.25); math.Abs(total/want-1) > 1e-3 {
		t.Errorf("the demands add up to %v, want %v", total, want)
	}
	if demands := l.Demands(start.Add(statedFor + time.Second)); len(demands) > 0 {
		t.Errorf("%d organisations without calls are stated", len(demands))
	}
	l.Offered(start.Add(retainedFor+time.Second), "last", 1, time.Second)
	if len(l.entries) != 1 {
		t.Errorf("%d organisations are kept", len(l.entries))
	}
}

// Guards against an old prompt of a limited organisation that ranks with the newest one, and against
// one that ranks before the prompts of organisations within their shares.
func TestWaitingPromptsGainPriorityWithAge(t *testing.T) {
	s := Standing{Known: true, Demand: 8, Share: 1, Usage: 100}
	fresh, old := s.Score(0, time.Second), s.Score(2*time.Second, time.Second)
	if old >= fresh || old <= 0 {
		t.Errorf("scores %v when new and %v when old", fresh, old)
	}
}

// BenchmarkFill measures the leader's division for 260 organisations.
func BenchmarkFill(b *testing.B) {
	grants := make([]quota.Grant, 260)
	for n := range grants {
		grants[n] = quota.Grant{Organisation: fmt.Sprint(n), FleetDemand: float64(1000 * n), FleetServed: float64(900 * n)}
	}
	b.ReportAllocs()
	for b.Loop() {
		Fill(grants, func(string) float64 { return 1 })
	}
}
