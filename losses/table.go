package losses

import (
	"cmp"
	"slices"

	"celeryport/explain"
)

// Row is the loss of one route by one cause.
type Row struct {
	Route    string             `json:"route"`
	Cause    Cause              `json:"cause"`
	Calls    int                `json:"calls"`
	Lost     float64            `json:"lost"` // fraction of the route's total value
	ByMoment map[Moment]float64 `json:"by_moment"`
}

// RouteDemand is the demand on one route and the fraction of its value that was lost.
type RouteDemand struct {
	Route    string             `json:"route"`
	Calls    int                `json:"calls"`
	Prompt   float64            `json:"mean_prompt"`
	Lost     float64            `json:"lost"`
	ByMoment map[Moment]float64 `json:"owed_by_moment"` // fraction of the route's total value
}

// Table holds all losses. A retried call counts at each attempt, since attempts have
// separate ids, so the total value is slightly overstated if many calls are refused.
type Table struct {
	Routes   []RouteDemand `json:"routes"`
	Rows     []Row         `json:"rows"`
	Unserved []Unserved    `json:"not_served"` // for each route, then for all
}

// TableOf computes the losses of all calls that end in the lines.
func TableOf(lines []explain.Line) Table {
	calls := make([]call, 0, len(lines))
	for i := range lines {
		if c, ended := callOf(&lines[i]); ended {
			calls = append(calls, c)
		}
	}
	history := newTimeline(lines, calls)
	value := map[string]float64{}
	demands, rows := map[string]*RouteDemand{}, map[string]*Row{}
	for i := range calls {
		value[calls[i].route] += calls[i].value
	}
	for i := range calls {
		c := &calls[i]
		moment, fraction := history.at(c.arrived), c.value/value[c.route]
		o := demands[c.route]
		if o == nil {
			o = &RouteDemand{Route: c.route, ByMoment: map[Moment]float64{}}
			demands[c.route] = o
		}
		o.Calls++
		o.Prompt += c.prompt
		o.ByMoment[moment] += fraction
		if c.cause == None {
			continue
		}
		key := c.route + "/" + string(c.cause)
		r := rows[key]
		if r == nil {
			r = &Row{Route: c.route, Cause: c.cause, ByMoment: map[Moment]float64{}}
			rows[key] = r
		}
		lost := fraction * c.cause.lostFraction()
		r.Calls++
		r.Lost += lost
		r.ByMoment[moment] += lost
		o.Lost += lost
	}
	t := buildTable(demands, rows)
	slices.SortStableFunc(calls, func(a, b call) int { return a.ended.Compare(b.ended) })
	t.Unserved = unservedOf(calls, t.Routes)
	return t
}

func buildTable(demands map[string]*RouteDemand, rows map[string]*Row) Table {
	var t Table
	for _, o := range demands {
		o.Prompt /= float64(o.Calls)
		t.Routes = append(t.Routes, *o)
	}
	for _, r := range rows {
		t.Rows = append(t.Rows, *r)
	}
	slices.SortFunc(t.Routes, func(a, b RouteDemand) int {
		return cmp.Or(cmp.Compare(a.Prompt, b.Prompt), cmp.Compare(a.Route, b.Route))
	})
	order := map[string]int{}
	for i, o := range t.Routes {
		order[o.Route] = i
	}
	slices.SortFunc(t.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(order[a.Route], order[b.Route]), cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	return t
}
