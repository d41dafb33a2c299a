package fairshare

import (
	"math"
	"testing"
	"time"

	"celeryport/quota"
)

// Guards against an instance that freezes and keeps its part in the demand of its organisations.
func TestDemandsOfAFrozenInstanceExpireWithTheLease(t *testing.T) {
	p := NewPool()
	p.Record(start, "frozen", []quota.Demand{{Organisation: "a", TokensPerSecond: 100}})
	at := start.Add(2 * time.Second)
	p.Record(at, "alive", []quota.Demand{{Organisation: "a", TokensPerSecond: 10}})
	p.Record(at, "frozen", nil) // a sync without a statement changes nothing
	if got := p.Sum(at, nil)[0].TokensPerSecond; got != 110 {
		t.Errorf("within the lease the demand is %v, want 110", got)
	}
	if got := p.Sum(start.Add(quota.DefaultLease+time.Millisecond), nil)[0].TokensPerSecond; got != 10 {
		t.Errorf("after the lease the demand is %v, want 10", got)
	}
	if len(p.statements) != 1 {
		t.Errorf("%d statements are kept", len(p.statements))
	}
}

// Guards against a broken or hostile statement that changes the totals of its organisation.
func TestImplausibleDemandsCountAsAbsent(t *testing.T) {
	p := NewPool()
	p.Record(start, "broken", []quota.Demand{
		{Organisation: "a", TokensPerSecond: -50},
		{Organisation: "a", ServedPerSecond: math.Inf(1)},
		{Organisation: "a", Usage: math.NaN()},
		{TokensPerSecond: 1},
	})
	p.Record(start, "sound", []quota.Demand{{Organisation: "a", TokensPerSecond: 10, Usage: 5}})
	sum := p.Sum(start, []quota.Demand{{Organisation: "a", TokensPerSecond: 1, InFlight: 3}})
	if len(sum) != 1 || sum[0].TokensPerSecond != 11 || sum[0].Usage != 5 || sum[0].InFlight != 3 {
		t.Errorf("the sum is %+v", sum)
	}
}

// Guards against sending every instance the totals of all organisations, and against handing on the
// parts of limits that are granted to the voter, which would then be used twice.
func TestInstancesGetTheTotalsOfTheirOwnOrganisations(t *testing.T) {
	p := NewPool()
	p.Record(start, "front-1", []quota.Demand{{Organisation: "a", TokensPerSecond: 1}, {Organisation: "watched"}, {Organisation: "calm"}})
	calm := grantFor("calm")
	calm.FleetShare = calm.FleetDemand
	granted := grantFor("a")
	granted.InFlight, granted.TokensPerSecond = 7, 1000
	got := p.Select(start, "front-1", []quota.Grant{granted, calm, grantFor("other"), grantFor("watched")})
	if len(got) != 2 || got[0] != grantFor("a") || got[1].Organisation != "watched" {
		t.Errorf("granted %+v, want the totals of its own and of the limited organisation that it watches", got)
	}
	if got := p.Select(start.Add(quota.DefaultLease+time.Second), "front-1", []quota.Grant{granted}); len(got) > 0 {
		t.Errorf("without a recent statement %+v is granted", got)
	}
}
