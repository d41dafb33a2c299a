package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryport/quota"
	"celeryport/request"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticket(a *Account, id string, arrival time.Time, priority int) *Ticket {
	r := &request.Request{ID: id, PromptTokens: 100, Arrival: arrival, Priority: priority, Long: true}
	return &Ticket{Request: r, Account: a, Order: Order(r)}
}

// A continuous stream of urgent requests of one organisation arrives. A request of low priority
// that is always overtaken would wait until its deadline: the caller of the audit would be
// rejected after minutes although the fleet served others.
func TestAgingBoundsHowLongARequestIsOvertaken(t *testing.T) {
	q, a := NewQueue(), NewAccount("a")
	audit := ticket(a, "audit", start, 0)
	q.Push(audit)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		q.Push(ticket(a, fmt.Sprint("urgent-", i), now, 10))
		first := q.Heads(now, true, nil)[0]
		q.Remove(first)
		if first == audit {
			if waited := now.Sub(start); waited > 10*AgingStep {
				t.Fatalf("the audit waited %v", waited)
			}
			return
		}
	}
	t.Fatal("the audit was never served")
}

// Tickets are added and removed in any order. If the removal of one in the middle broke the heap
// order, an audit would be overtaken by later requests.
func TestQueueKeepsArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, a := NewQueue(), NewAccount("a")
		var waiting []*Ticket
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(waiting) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				n := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
				q.Remove(waiting[n])
				waiting = append(waiting[:n], waiting[n+1:]...)
				continue
			}
			at := start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "arrival")) * time.Second)
			one := ticket(a, fmt.Sprintf("%03d", i), at, 0)
			q.Push(one)
			waiting = append(waiting, one)
		}
		var last *Ticket
		for q.Len() > 0 {
			first := q.Heads(start, true, nil)[0]
			if last != nil && first.before(last) {
				t.Fatalf("%s came after %s", first.Request.ID, last.Request.ID)
			}
			q.Remove(first)
			last = first
		}
		if a.Waiting != 0 || a.WaitingTokens != 0 || q.Tokens() != 0 {
			t.Fatalf("the empty queue counts %d requests, %d and %d tokens", a.Waiting, a.WaitingTokens, q.Tokens())
		}
	})
}

func TestTheOrganisationWithTheLeastShareGoesFirst(t *testing.T) {
	q := NewQueue()
	large, small := NewAccount("large"), NewAccount("small")
	large.Weight, small.Weight = 3, 1
	q.Push(ticket(small, "s", start, 0))
	q.Push(ticket(large, "l", start.Add(time.Second), 0))
	large.Usage.Add(start, 2000)
	small.Usage.Add(start, 1000)
	if first := q.Heads(start, true, nil)[0]; first.Account != large {
		t.Fatalf("%s goes first, with 1000 tokens and a weight of 1 against 2000 tokens and a weight of 3", first.Account.Name)
	}
	if first := q.Heads(start, false, nil)[0]; first.Account != small {
		t.Fatal("want order of arrival while the fleet is not contended")
	}
	// The usage of other instances counts as well.
	large.Granted(start, quota.Grant{FleetUsage: 9000, Lease: time.Minute})
	if first := q.Heads(start, true, nil)[0]; first.Account != small {
		t.Fatal("usage of other instances does not count")
	}
}

// The control group is unavailable, so grants expire. If a limited organisation could continue
// without a grant, losing the control group would lift every limit.
func TestALapsedGrantAdmitsNothingOfALimitedOrganisation(t *testing.T) {
	a := NewAccount("a")
	a.Configure(1, 0.1, 1000, 2)
	a.Demand(start)
	a.Granted(start, quota.Grant{InFlight: 2, TokensPerSecond: 1000, Lease: 3 * time.Second})
	if within, _ := a.WithinLimits(start, 10); !within {
		t.Fatal("refused with a valid grant")
	}
	within, after := a.WithinLimits(start.Add(4*time.Second), 10)
	if within || after <= 0 {
		t.Fatalf("admitted %v after the lease, retry in %v", within, after)
	}
}

func TestTheTokenLimitHoldsOverTimeForPromptsLargerThanASecondOfIt(t *testing.T) {
	a := NewAccount("a")
	a.Configure(1, 0.1, 1000, 0)
	admitted := 0
	for i := range 600 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		a.Granted(now, quota.Grant{TokensPerSecond: 1000, Lease: 3 * time.Second})
		if within, _ := a.WithinLimits(now, 5000); within {
			a.Charge(now, 5000)
			admitted += 5000
		}
	}
	if admitted < 55_000 || admitted > 65_000 {
		t.Fatalf("%d tokens in a minute under a limit of 1000 a second", admitted)
	}
}
