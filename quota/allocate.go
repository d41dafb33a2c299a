package quota

import (
	"sort"
	"time"
)

// DefaultLease is how long a grant is valid after its demand was sent. It spans several
// heartbeats, so that the loss of one exchange has no effect.
const DefaultLease = 3 * time.Second

// Allocate divides the limits between the instances. The sum of what all instances may use never
// exceeds a limit, even while answers are in flight or lost: a part that one instance may still
// use is never granted to another. So a part is first reduced by a smaller grant and is granted
// to another instance only in a later call, when the holder's statement no longer contains it.
// The caller keeps the grants of each instance as Outstanding until a newer statement confirms
// them or their lease has expired.
func Allocate(limits []Limit, statements []Statement) []InstanceGrants {
	out := make([]InstanceGrants, len(statements))
	for i := range statements {
		out[i].Instance = statements[i].Instance
	}
	ranks := ranksByName(statements)
	for _, o := range organisations(limits, statements) {
		o.grant(out, ranks)
	}
	return out
}

// ranksByName returns the rank of each instance when sorted by name. All instances get their
// ranks from one allocation, so they can spread evenly over nodes without exchanging messages.
func ranksByName(statements []Statement) []int {
	ranks := make([]int, len(statements))
	for i := range statements {
		for k := range statements {
			if statements[k].Instance < statements[i].Instance {
				ranks[i]++
			}
		}
	}
	return ranks
}

// organisation collects the demands and grants of one organisation.
type organisation struct {
	limit   Limit
	demands []Demand // by instance
	held    []Grant  // by instance: what it may still use
}

func organisations(limits []Limit, statements []Statement) []*organisation {
	byName := map[string]*organisation{}
	get := func(name string) *organisation {
		o := byName[name]
		if o == nil {
			o = &organisation{limit: Limit{Organisation: name}}
			o.demands = make([]Demand, len(statements))
			o.held = make([]Grant, len(statements))
			byName[name] = o
		}
		return o
	}
	for _, l := range limits {
		get(l.Organisation).limit = l
	}
	for i := range statements {
		for _, d := range statements[i].Demands {
			o := get(d.Organisation)
			o.demands[i] = d
			o.held[i].raiseTo(d.GrantedInFlight, d.GrantedTokensPerSecond)
		}
		for _, g := range statements[i].Outstanding {
			get(g.Organisation).held[i].raiseTo(g.InFlight, g.TokensPerSecond)
		}
	}
	all := make([]*organisation, 0, len(byName))
	for _, o := range byName {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].limit.Organisation < all[j].limit.Organisation
	})
	return all
}

func (g *Grant) raiseTo(inFlight int, rate float64) {
	g.InFlight = max(g.InFlight, inFlight)
	g.TokensPerSecond = max(g.TokensPerSecond, rate)
}

func (o *organisation) grant(out []InstanceGrants, ranks []int) {
	total := Grant{Organisation: o.limit.Organisation, Lease: DefaultLease}
	for _, d := range o.demands {
		total.FleetInFlightTokens += d.InFlightTokens
		total.FleetDemand += d.TokensPerSecond
		total.FleetUsage += d.Usage
		total.FleetServed += d.ServedPerSecond
		total.FleetRefused += d.RefusedPerSecond
		total.FleetWaitingTokens += d.WaitingTokens
		total.FleetSpanTokens += d.SpanTokens
		total.FleetOverdueSpans += d.OverdueSpanTokens
		total.FleetMix = total.FleetMix.Plus(d.Mix)
	}
	rates := o.rates()
	slots := o.slots()
	for i := range out {
		g := total
		g.TokensPerSecond = rates[i]
		g.InFlight = slots[i]
		g.Rank, g.Peers = ranks[i], len(out)
		out[i].Grants = append(out[i].Grants, g)
	}
}

// rates divides the limit on tokens per second by demand.
func (o *organisation) rates() []float64 {
	want := make([]float64, len(o.demands))
	held := make([]float64, len(o.demands))
	for i, d := range o.demands {
		want[i] = d.TokensPerSecond
		held[i] = o.held[i].TokensPerSecond
	}
	return divide(o.limit.TokensPerSecond, want, held)
}

// slots divides the limit on requests in flight. Requests that an instance already has in flight
// count as demand, because they can't be revoked.
func (o *organisation) slots() []int {
	want := make([]float64, len(o.demands))
	held := make([]float64, len(o.demands))
	for i, d := range o.demands {
		want[i] = float64(d.InFlight + d.Waiting)
		held[i] = float64(max(o.held[i].InFlight, d.InFlight))
	}
	parts := divide(float64(o.limit.InFlight), want, held)
	return roundToLimit(parts, held, o.limit.InFlight)
}
