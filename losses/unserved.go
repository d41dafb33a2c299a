package losses

import (
	"cmp"
	"slices"
)

// Unserved is how many calls of one route were not served at all, neither in time nor late.
type Unserved struct {
	Route   string        `json:"route"` // AllRoutes: the sum of all routes
	Calls   int           `json:"calls"` // without attempts that followed a refusal
	Count   int           `json:"not_served"`
	Nines   Nines         `json:"nines"`
	ByCause map[Cause]int `json:"by_cause"` // of the last attempts
}

// AllRoutes is the name of the sum of all routes. No route can have it, since names have no spaces.
const AllRoutes = "(all routes)"

// Share returns the fraction of the calls that were served, 1 if there were none.
func (u *Unserved) Share() float64 {
	if u.Calls == 0 {
		return 1
	}
	return 1 - float64(u.Count)/float64(u.Calls)
}

// served reports whether calls with this cause were answered, if late.
func (c Cause) served() bool { return c.lostFraction() < 1 }

// add counts the last line of an attempt. A refused call that returns has one more line for each
// attempt: the line of a returned call says so, and takes the refusal before it out of the count.
func (u *Unserved) add(c *call) {
	if c.retried {
		u.withdrawRefusal()
	} else {
		u.Calls++
	}
	if !c.cause.served() {
		u.ByCause[c.cause]++
		u.Count++
	}
}

// withdrawRefusal removes a refusal whose call has returned. The log may begin after that refusal;
// then the call is counted when it returns.
func (u *Unserved) withdrawRefusal() {
	for _, cause := range []Cause{RefusedAgain, Refused, NoUpstream, NoHelper} {
		if u.ByCause[cause] > 0 {
			u.ByCause[cause]--
			u.Count--
			return
		}
	}
	u.Calls++
}

// unservedOf counts the calls that were not served, for each route in the given order and for all
// routes together. calls is sorted by the time of the end of each attempt.
func unservedOf(calls []call, routes []RouteDemand) []Unserved {
	byRoute := map[string]*Unserved{}
	for i := range calls {
		c := &calls[i]
		u := byRoute[c.route]
		if u == nil {
			u = &Unserved{Route: c.route, ByCause: map[Cause]int{}}
			byRoute[c.route] = u
		}
		u.add(c)
	}
	all := Unserved{Route: AllRoutes, ByCause: map[Cause]int{}}
	list := make([]Unserved, 0, len(routes)+1)
	for i := range routes {
		u := byRoute[routes[i].Route]
		u.Nines = NinesOf(u.Calls, u.Count)
		list = append(list, *u)
		all.Calls, all.Count = all.Calls+u.Calls, all.Count+u.Count
		for cause, count := range u.ByCause {
			all.ByCause[cause] += count
		}
	}
	if len(list) == 0 {
		return nil
	}
	all.Nines = NinesOf(all.Calls, all.Count)
	return append(list, all)
}

// Causes returns the causes of the calls that were not served, the most frequent first.
func (u *Unserved) Causes() []Cause {
	var causes []Cause
	for cause, count := range u.ByCause {
		if count > 0 {
			causes = append(causes, cause)
		}
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(u.ByCause[b], u.ByCause[a]), cmp.Compare(a, b))
	})
	return causes
}
