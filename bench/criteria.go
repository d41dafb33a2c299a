package bench

import (
	"fmt"
	"math"
	"strings"
)

// Limits of the acceptance criteria.
const (
	maxSlowdown       = 1.25
	minNaiveRatio     = 5.0
	minLongTokenRatio = 0.95
	maxFaultSlowdown  = 1.6
	maxRefusalDelay   = 0.1 // seconds; one scheduling step
	maxShareError     = 0.10
)

// Criterion is one acceptance criterion of a row with its measured value, the median
// over the seeds.
type Criterion struct {
	Row     string  `json:"row"`
	Metric  string  `json:"what"`
	Value   float64 `json:"figure"`
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"least"` // Limit is a lower bound instead of an upper one
	Pass    bool    `json:"pass"`
}

// String formats the criterion as one line of the report.
func (c Criterion) String() string {
	verdict, relation := "FAIL", "<="
	if c.Pass {
		verdict = "pass"
	}
	if c.AtLeast {
		relation = ">="
	}
	return fmt.Sprintf("%s  %-28s %-44s %8.3f %s %.3g", verdict, c.Row, c.Metric, c.Value, relation, c.Limit)
}

func atMost(row, metric string, value, limit float64) Criterion {
	return Criterion{Row: row, Metric: metric, Value: value, Limit: limit, Pass: value <= limit}
}

func atLeast(row, metric string, value, limit float64) Criterion {
	return Criterion{Row: row, Metric: metric, Value: value, Limit: limit, AtLeast: true, Pass: value >= limit}
}

// Criteria evaluates the acceptance criteria of the measured rows.
func Criteria(measured []*MeasuredRow) []Criterion {
	var criteria []Criterion
	for _, m := range measured {
		switch {
		case m.row.Fault != NoFault:
			criteria = append(criteria, atMost(m.Row, "short slowdown p95", m.slowdown(), maxFaultSlowdown))
		case m.row.Load >= overloadLoad:
			criteria = append(criteria, m.overloadCriteria()...)
		case m.row.Load >= normalLoad:
			criteria = append(criteria, m.normalCriteria()...)
		}
	}
	return criteria
}

func (m *MeasuredRow) slowdown() float64 {
	return median(m.Celeryport, func(r *Result) float64 { return r.Slowdown })
}

func (m *MeasuredRow) normalCriteria() []Criterion {
	naive := median(m.Naive, func(r *Result) float64 { return r.Slowdown })
	long := func(r *Result) float64 { return float64(r.LongTokens) }
	criteria := []Criterion{
		atMost(m.Row, "short slowdown p95", m.slowdown(), maxSlowdown),
		atLeast(m.Row, "naive's short slowdown over it", naive/m.slowdown(), minNaiveRatio),
		atLeast(m.Row, "long tokens over naive's", median(m.Celeryport, long)/median(m.Naive, long), minLongTokenRatio),
	}
	for b := range shortBuckets {
		value := median(m.Celeryport, func(r *Result) float64 { return r.BucketSlowdown[b] })
		criteria = append(criteria, atMost(m.Row, "slowdown p95 of "+Buckets[b], value, maxSlowdown))
	}
	return criteria
}

func (m *MeasuredRow) overloadCriteria() []Criterion {
	late := median(m.Celeryport, func(r *Result) float64 { return float64(r.Late) })
	delay := median(m.Celeryport, func(r *Result) float64 { return r.RefusalDelay })
	worst, worstOrganisation := 0.0, ""
	for _, o := range m.row.Site.Organisations {
		share := median(m.Celeryport, func(r *Result) float64 { return r.Shares[o.Name] })
		if deviation := math.Abs(share - 1); deviation >= worst {
			worst, worstOrganisation = deviation, o.Name
		}
	}
	return []Criterion{
		atMost(m.Row, "finished late", late, 0),
		atMost(m.Row, "refused after it was hopeless, s", delay, maxRefusalDelay),
		atMost(m.Row, strings.TrimSpace("served share off its weight, worst "+worstOrganisation), worst, maxShareError),
	}
}
