package load

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are the quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count   int64   `json:"count"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	Maximum float64 `json:"max_ms"`
}

// Line is the result of the requests of one length bucket or class.
type Line struct {
	Name       string    `json:"name"`
	Requests   int       `json:"requests"`
	Served     int       `json:"served"`
	Refused    int       `json:"refused"`
	Failed     int       `json:"failed"`
	Lost       int       `json:"lost"`
	Crossed    int       `json:"crossed"`
	Late       int       `json:"late"`
	FirstToken Quantiles `json:"first_token"`
	Took       Quantiles `json:"took"`
}

// Cause counts the requests that ended with the same result and reason.
type Cause struct {
	Result  Result `json:"result"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
	Example string `json:"example,omitempty"`
}

// Report is the result of a run.
type Report struct {
	Mix            string    `json:"mix"`
	Seed           uint64    `json:"seed"`
	Rate           float64   `json:"rate"`
	Seconds        float64   `json:"seconds"`
	All            Line      `json:"all"`
	Doubled        int       `json:"doubled"`
	FalselyRefused int       `json:"untrue"`  // ran although they were refused as not run
	Counted        bool      `json:"counted"` // whether the execution counts of the services were compared
	CountsError    string    `json:"counts_error,omitempty"`
	Tries          int       `json:"tries"`
	Unsent         int       `json:"unsent"` // not sent because of the limit of requests in flight
	Lengths        []Line    `json:"lengths"`
	Classes        []Line    `json:"classes"`
	Causes         []Cause   `json:"causes"`
	Accounts       []Account `json:"accounts"`
}

// HasViolations reports whether a guarantee to callers was violated, or could not be
// checked although the check was requested.
func (r *Report) HasViolations() bool {
	return r.All.Lost+r.Doubled+r.All.Crossed+r.FalselyRefused > 0 || r.CountsError != ""
}

// Summary returns the last line of the table.
func (r *Report) Summary() string {
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed, %d lost, %d doubled, %d crossed",
		r.All.Requests, r.All.Served, r.All.Refused, r.All.Failed, r.All.Lost, r.Doubled, r.All.Crossed)
}

func (t *tally) report(o *Options, took time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		Mix:      o.Mix.Name,
		Seed:     o.Seed,
		Rate:     o.Rate,
		Seconds:  took.Seconds(),
		All:      t.all.line(),
		Tries:    t.tries,
		Unsent:   t.unsent,
		Accounts: t.accountCounts.list(),
	}
	for _, g := range t.lengths {
		r.Lengths = append(r.Lengths, g.line())
	}
	for _, name := range t.order {
		r.Classes = append(r.Classes, t.classes[name].line())
	}
	for c, count := range t.causes {
		r.Causes = append(r.Causes, Cause{Result: c.result, Reason: c.reason, Count: count, Example: t.examples[c]})
	}
	sort.Slice(r.Causes, func(i, j int) bool {
		a, b := r.Causes[i], r.Causes[j]
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return string(a.Result)+a.Reason < string(b.Result)+b.Reason
	})
	return r
}

func (g *group) line() Line {
	l := Line{
		Name:       g.name,
		Served:     g.results[Served],
		Refused:    g.results[Refused],
		Failed:     g.results[Failed],
		Lost:       g.results[Lost],
		Crossed:    g.results[Crossed],
		Late:       g.late,
		FirstToken: quantiles(g.firstToken),
		Took:       quantiles(g.took),
	}
	l.Requests = l.Served + l.Refused + l.Failed + l.Lost + l.Crossed
	return l
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	inMs := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return Quantiles{
		Count:   h.TotalCount(),
		P50:     inMs(h.ValueAtQuantile(50)),
		P95:     inMs(h.ValueAtQuantile(95)),
		P99:     inMs(h.ValueAtQuantile(99)),
		Maximum: inMs(h.Max()),
	}
}
