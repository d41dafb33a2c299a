package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as human-readable tables.
func (r *Report) WriteTable(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeLines(w, "prompt tokens", r.Lengths)
	fmt.Fprintln(w)
	writeLines(w, "class", r.Classes)
	if err := w.Flush(); err != nil {
		return err
	}
	if err := r.writeCauses(to); err != nil {
		return err
	}
	fmt.Fprintf(to, "\nfirst token in ms, since the request was due; late: served after its deadline\n")
	fmt.Fprintf(to, "%s mix, seed %d, %g requests a second, %.1f s, %d tries, %d unsent, %d untrue refusals\n",
		r.Mix, r.Seed, r.Rate, r.Seconds, r.Tries, r.Unsent, r.FalselyRefused)
	if r.CountsError != "" {
		fmt.Fprintf(to, "doubled calls are unknown: %s\n", r.CountsError)
	}
	_, err := fmt.Fprintf(to, "total: %s\n", r.Summary())
	return err
}

func writeLines(w io.Writer, title string, lines []Line) {
	fmt.Fprintf(w, "%s\trequests\tserved\trefused\tfailed\tlost\tcrossed\tlate\tfirst p50\tp95\tp99\ttook p50\tp99\t\n", title)
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n",
			l.Name, l.Requests, l.Served, l.Refused, l.Failed, l.Lost, l.Crossed, l.Late,
			l.FirstToken.cell(l.FirstToken.P50), l.FirstToken.cell(l.FirstToken.P95), l.FirstToken.cell(l.FirstToken.P99),
			l.Took.cell(l.Took.P50), l.Took.cell(l.Took.P99))
	}
}

// cell formats a quantile, or returns a dash if nothing was measured.
func (q *Quantiles) cell(ms float64) string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", ms)
}

func (r *Report) writeCauses(to io.Writer) error {
	if len(r.Causes) == 0 {
		return nil
	}
	fmt.Fprintln(to)
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, c := range r.Causes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", c.Result, c.Reason, c.Count, c.Example)
	}
	return w.Flush()
}
