package losses

import (
	"cmp"
	"slices"

	"celeryport/explain"
)

// Row is what one route lost by one cause.
type Row struct {
	Route    string             `json:"route"`
	Cause    Cause              `json:"cause"`
	Calls    int                `json:"calls"`
	Lost     float64            `json:"lost"` // share of what the route was owed
	ByMoment map[Moment]float64 `json:"by_moment"`
}

// Owed is what came on a route.
type Owed struct {
	Route    string             `json:"route"`
	Calls    int                `json:"calls"`
	Prompt   float64            `json:"mean_prompt"`
	Lost     float64            `json:"lost"`
	ByMoment map[Moment]float64 `json:"owed_by_moment"` // share of the route's value that was owed then
}

// Table holds all losses. A refused call that came back counts at both tries, since
// its tries have ids of their own: the value that is owed is a little too high where
// many are refused.
type Table struct {
	Routes []Owed `json:"routes"`
	Rows   []Row  `json:"rows"`
}

// Of sums up the losses of all calls that end in the lines.
func Of(lines []explain.Line) Table {
	calls := make([]call, 0, len(lines))
	for i := range lines {
		if c, ended := callOf(&lines[i]); ended {
			calls = append(calls, c)
		}
	}
	line := newTimeline(lines, calls)
	value := map[string]float64{}
	owed, rows := map[string]*Owed{}, map[string]*Row{}
	for i := range calls {
		value[calls[i].route] += calls[i].value
	}
	for i := range calls {
		c := &calls[i]
		moment, part := line.at(c.arrived), c.value/value[c.route]
		o := owed[c.route]
		if o == nil {
			o = &Owed{Route: c.route, ByMoment: map[Moment]float64{}}
			owed[c.route] = o
		}
		o.Calls++
		o.Prompt += c.prompt
		o.ByMoment[moment] += part
		if c.cause == None {
			continue
		}
		key := c.route + "/" + string(c.cause)
		r := rows[key]
		if r == nil {
			r = &Row{Route: c.route, Cause: c.cause, ByMoment: map[Moment]float64{}}
			rows[key] = r
		}
		lost := part * c.cause.share()
		r.Calls++
		r.Lost += lost
		r.ByMoment[moment] += lost
		o.Lost += lost
	}
	return assemble(owed, rows)
}

func assemble(owed map[string]*Owed, rows map[string]*Row) Table {
	var t Table
	for _, o := range owed {
		o.Prompt /= float64(o.Calls)
		t.Routes = append(t.Routes, *o)
	}
	for _, r := range rows {
		t.Rows = append(t.Rows, *r)
	}
	slices.SortFunc(t.Routes, func(a, b Owed) int {
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
