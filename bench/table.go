package bench

import (
	"fmt"
	"io"
)

// WriteTable writes the rows, each with both policies below each other, and then
// the acceptance criteria.
func WriteTable(out io.Writer, measured []*MeasuredRow) {
	fmt.Fprintln(out, "Medians of the seeds. Time to first token in seconds, p50/p95/p99, by prompt length.")
	for _, m := range measured {
		fmt.Fprintf(out, "\n%s\n", m.Row)
		writeHeader(out)
		writePolicy(out, string(Naive), m.Naive)
		writePolicy(out, string(Celeryport), m.Celeryport)
	}
	fmt.Fprintln(out)
	for _, criterion := range Criteria(measured) {
		fmt.Fprintln(out, criterion)
	}
}

func writeHeader(out io.Writer) {
	fmt.Fprintf(out, "  %-10s", "")
	for _, b := range Buckets {
		fmt.Fprintf(out, " %-20s", b)
	}
	fmt.Fprintf(out, " %9s %9s %9s %6s %8s %8s %6s %6s\n",
		"slowdown", "(1-4k)", "long Mtok", "late", "refused", "(short)", "failed", "jump")
}

func writePolicy(out io.Writer, name string, results []*Result) {
	fmt.Fprintf(out, "  %-10s", name)
	for b := range Buckets {
		p50 := median(results, func(r *Result) float64 { return r.FirstToken[b].P50 })
		p95 := median(results, func(r *Result) float64 { return r.FirstToken[b].P95 })
		p99 := median(results, func(r *Result) float64 { return r.FirstToken[b].P99 })
		fmt.Fprintf(out, " %-20s", fmt.Sprintf("%.3g/%.3g/%.3g", p50, p95, p99))
	}
	count := func(read func(*Result) int) float64 {
		return median(results, func(r *Result) float64 { return float64(read(r)) })
	}
	fmt.Fprintf(out, " %9.2f %9.2f %9.1f %6.0f %8.0f %8.0f %6.0f %6.0f\n",
		median(results, func(r *Result) float64 { return r.Slowdown }),
		median(results, func(r *Result) float64 { return r.BucketSlowdown[0] }),
		median(results, func(r *Result) float64 { return float64(r.LongTokens) / 1e6 }),
		count(func(r *Result) int { return r.Late }),
		count(func(r *Result) int { return r.Refused }),
		count(func(r *Result) int { return r.RefusedShort }),
		count(func(r *Result) int { return r.Failed }),
		count(func(r *Result) int { return r.QueueJump }))
}
