package burn

import (
	"time"

	"celeryport/ledger"
	"celeryport/settings"
)

// Input is the input of Compute.
type Input struct {
	Now     time.Time
	Tree    *settings.Tree
	State   *ledger.State
	Unknown int // instances whose final counters are unknown
}

// Compute returns the burn of every objective of every class.
func Compute(in Input) *Table {
	table := &Table{At: in.Now, Objectives: []Objective{}, UnknownInstances: in.Unknown}
	for i := range in.State.Lumps {
		for _, counters := range in.State.Lumps[i].Series {
			table.Unplaced += counters.Received()
		}
	}
	growth := newGrowth(&in)
	for i := range in.Tree.Classes {
		for _, o := range objectivesOf(&in.Tree.Classes[i]) {
			table.Objectives = append(table.Objectives, growth.compute(&o))
		}
	}
	return table
}

// growth caches the windows of the ledger, so that each is read once for all
// objectives.
type growth struct {
	now     time.Time
	state   *ledger.State
	windows map[time.Duration]byClass
	hours   []hourlyGrowth
}

type byClass map[string][]ledger.SeriesCopy

type hourlyGrowth struct {
	start  time.Time
	series byClass
}

func newGrowth(in *Input) *growth {
	g := &growth{now: in.Now, state: in.State, windows: map[time.Duration]byClass{}}
	for _, cell := range in.State.Windows.Hours(in.Now) {
		g.hours = append(g.hours, hourlyGrowth{start: cell.Start, series: groupByClass(cell.Series)})
	}
	return g
}

// within returns the growth over a window that ends now.
func (g *growth) within(window time.Duration) byClass {
	if g.windows[window] == nil {
		series, _ := g.state.Windows.Since(g.now.Add(-window), g.now)
		g.windows[window] = groupByClass(series)
	}
	return g.windows[window]
}

func groupByClass(series map[ledger.Series]*ledger.Counters) byClass {
	all := byClass{}
	for name, counters := range series {
		all[name.Class] = append(all[name.Class], ledger.SeriesCopy{Series: name, Counters: *counters})
	}
	return all
}

func (b byClass) count(o *objective) count {
	var sum count
	for i := range b[o.class] {
		sum = sum.plus(o.countSeries(&b[o.class][i].Counters))
	}
	return sum
}

func (g *growth) compute(o *objective) Objective {
	period := g.within(o.period).count(o)
	result := Objective{
		Class:         o.class,
		Kind:          o.kind,
		Goal:          o.goal,
		Bound:         o.bound,
		Period:        o.period,
		Total:         period.total,
		Bad:           period.bad,
		BudgetLeft:    1 - o.rate(period),
		Rates:         g.rates(o),
		Burners:       burners(o, g.within(burnersWindow)),
		PeriodBurners: burners(o, g.within(o.period)),
		History:       g.history(o),
	}
	result.Alerts = alerts(result.Rates)
	result.DaysLeft = daysLeft(&result)
	return result
}

// rate returns the burn rate: the fraction of requests that missed the objective
// divided by the fraction that the goal allows to miss it.
func (o *objective) rate(c count) float64 { return c.badFraction() / (1 - o.goal) }

func (g *growth) rates(o *objective) []Rate {
	rates := make([]Rate, 0, len(windows))
	for _, window := range windows {
		c := g.within(window).count(o)
		rates = append(rates, Rate{Window: window, Rate: o.rate(c), Total: c.total, Bad: c.bad})
	}
	return rates
}

func (g *growth) history(o *objective) []Point {
	points := make([]Point, 0, len(g.hours))
	for _, h := range g.hours {
		points = append(points, Point{At: h.start, Rate: o.rate(h.series.count(o))})
	}
	return points
}

func alerts(rates []Rate) []Alert {
	var all []Alert
	for _, pair := range pairs {
		long := rateOf(rates, pair.Long)
		if long >= pair.Threshold && rateOf(rates, pair.Short) >= pair.Threshold {
			all = append(all, Alert{Action: pair.Action, Long: pair.Long, Short: pair.Short, Rate: long})
		}
	}
	return all
}

func rateOf(rates []Rate, window time.Duration) float64 {
	for _, r := range rates {
		if r.Window == window {
			return r.Rate
		}
	}
	return 0
}

// daysLeft returns the number of days that the budget lasts at the rate over rateWindow,
// or nil if it lasts indefinitely. It assumes that requests keep arriving at the average rate of the
// period.
func daysLeft(o *Objective) *float64 {
	rate := rateOf(o.Rates, rateWindow)
	budgetLeft := max(0, o.BudgetLeft)
	if rate <= 0 && budgetLeft > 0 {
		return nil
	}
	days := 0.0
	if budgetLeft > 0 {
		days = budgetLeft * o.Period.Hours() / hoursPerDay / rate
	}
	return &days
}

const hoursPerDay = 24
