package bench

import (
	"fmt"
	"math"
	"strings"
)

// The bars of the product.
const (
	maxSlowdown      = 1.25
	minBetter        = 5.0
	minLongTokens    = 0.95
	maxFaultSlowdown = 1.6
	maxRefusalDelay  = 0.1 // seconds, one scheduling step
	maxShareError    = 0.10
)

// Bar is one requirement with its figure, the median of the seeds.
type Bar struct {
	Row    string  `json:"row"`
	What   string  `json:"what"`
	Figure float64 `json:"figure"`
	Limit  float64 `json:"limit"`
	Least  bool    `json:"least"` // the limit is the least, not the most
	Pass   bool    `json:"pass"`
}

// String is the line of the bar in the report.
func (b Bar) String() string {
	verdict, relation := "FAIL", "<="
	if b.Pass {
		verdict = "pass"
	}
	if b.Least {
		relation = ">="
	}
	return fmt.Sprintf("%s  %-28s %-44s %8.3f %s %.3g", verdict, b.Row, b.What, b.Figure, relation, b.Limit)
}

func most(row, what string, figure, limit float64) Bar {
	return Bar{Row: row, What: what, Figure: figure, Limit: limit, Pass: figure <= limit}
}

func least(row, what string, figure, limit float64) Bar {
	return Bar{Row: row, What: what, Figure: figure, Limit: limit, Least: true, Pass: figure >= limit}
}

// Bars evaluates the bars of the measured rows.
func Bars(measured []*Measured) []Bar {
	var bars []Bar
	for _, m := range measured {
		switch {
		case m.row.Fault != NoFault:
			bars = append(bars, most(m.Row, "short slowdown p95", m.slowdown(), maxFaultSlowdown))
		case m.row.Load >= overload:
			bars = append(bars, m.overloadBars()...)
		case m.row.Load >= normal:
			bars = append(bars, m.normalBars()...)
		}
	}
	return bars
}

func (m *Measured) slowdown() float64 {
	return median(m.Celeryport, func(r *Result) float64 { return r.Slowdown })
}

func (m *Measured) normalBars() []Bar {
	naive := median(m.Naive, func(r *Result) float64 { return r.Slowdown })
	long := func(r *Result) float64 { return float64(r.LongTokens) }
	bars := []Bar{
		most(m.Row, "short slowdown p95", m.slowdown(), maxSlowdown),
		least(m.Row, "naive's short slowdown over it", naive/m.slowdown(), minBetter),
		least(m.Row, "long tokens over naive's", median(m.Celeryport, long)/median(m.Naive, long), minLongTokens),
	}
	for b := range shortBuckets {
		figure := median(m.Celeryport, func(r *Result) float64 { return r.BucketSlowdown[b] })
		bars = append(bars, most(m.Row, "slowdown p95 of "+Buckets[b], figure, maxSlowdown))
	}
	return bars
}

func (m *Measured) overloadBars() []Bar {
	late := median(m.Celeryport, func(r *Result) float64 { return float64(r.Late) })
	delay := median(m.Celeryport, func(r *Result) float64 { return r.RefusalDelay })
	worst, who := 0.0, ""
	for _, o := range m.row.Site.Organisations {
		share := median(m.Celeryport, func(r *Result) float64 { return r.Shares[o.Name] })
		if off := math.Abs(share - 1); off >= worst {
			worst, who = off, o.Name
		}
	}
	return []Bar{
		most(m.Row, "finished late", late, 0),
		most(m.Row, "refused after it was hopeless, s", delay, maxRefusalDelay),
		most(m.Row, strings.TrimSpace("served share off its weight, worst "+who), worst, maxShareError),
	}
}
