package ledger

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	timeFormat = "2006-01-02 15:04:05 MST"
	// maxListedUnknown bounds the number of unknown instances listed in the table.
	maxListedUnknown = 20
	columnPadding    = 2
)

// WriteTable writes the report as tables for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	p := &printer{w: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)}
	p.line("report at %s", r.At.UTC().Format(timeFormat))
	if !r.Since.IsZero() {
		p.line("since %s, latencies since %s", r.Since.Format(timeFormat), r.LatencySince.Format(timeFormat))
	}
	p.rows("by organisation", r.ByOrg, func(row *Row) string { return row.Organisation })
	p.rows("by class", r.ByClass, func(row *Row) string { return row.Class })
	p.rows("by model and service", r.ByTarget, func(row *Row) string { return row.Kind + " " + row.Target })
	p.rows("all", []Row{r.Total}, func(*Row) string { return "total" })
	p.reasons(&r.Total)
	p.latencies(r.Latencies)
	p.unknown(r.Unknown)
	p.unplaced(r.Unplaced)
	if !r.DroppedUpTo.IsZero() {
		p.line("dropped for their age: instances that ended up to %s", r.DroppedUpTo.UTC().Format(timeFormat))
	}
	if len(r.MissingVoters) > 0 {
		p.line("voters that did not answer: %s; what only they know of ended instances is missing",
			strings.Join(r.MissingVoters, ", "))
	}
	return p.finish()
}

// printer writes tables and collects write errors.
type printer struct {
	w   *tabwriter.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if _, err := fmt.Fprintf(p.w, format+"\n", args...); err != nil {
		p.err = errors.CombineErrors(p.err, err)
	}
}

// cells writes one line of a table; the first cell is a title.
func (p *printer) cells(cells ...string) { p.line("%s\t", strings.Join(cells, "\t")) }

func (p *printer) finish() error { return errors.CombineErrors(p.err, p.w.Flush()) }

// title flushes the preceding table, so that each table has its own column widths,
// and writes the title of the next one.
func (p *printer) title(text string) {
	p.line("")
	p.err = errors.CombineErrors(p.err, p.w.Flush())
	p.line("%s", text)
}

func (p *printer) rows(title string, rows []Row, name func(*Row) string) {
	p.title(title)
	p.cells("", "received", "carried in", "served", "late", "refused", "failed", "in flight", "unknown",
		"prompt tokens", "cached", "answer tokens")
	for i := range rows {
		row := &rows[i]
		p.cells(name(row), formatUint(row.Received), formatInt(row.CarriedIn), formatUint(row.Served), formatUint(row.Late),
			formatUint(row.Refused), formatUint(row.Failed), formatInt(row.InFlight), formatInt(row.Unknown),
			formatUint(row.PromptTokens), formatUint(row.CachedTokens), formatUint(row.AnswerTokens))
	}
}

func (p *printer) reasons(row *Row) {
	if len(row.RefusedBy)+len(row.FailedBy) == 0 {
		return
	}
	p.title("refused and failed by reason")
	for _, r := range row.RefusedBy {
		p.cells("refused", string(r.Reason), "not-run", formatUint(r.Count))
	}
	for _, f := range row.FailedBy {
		p.cells("failed", string(f.Reason), f.Verdict.String(), formatUint(f.Count))
	}
}

func (p *printer) latencies(all []Latency) {
	p.title("latencies by class")
	p.cells("class", "prompt tokens", "measure", "answers", "p50", "p95", "p99")
	for _, l := range all {
		if l.Organisation != "" {
			continue
		}
		length := l.Length.String()
		if l.Measure == Total {
			length = "-"
		}
		p.cells(l.Class, length, string(l.Measure), strconv.FormatInt(l.Count, 10), roundDuration(l.P50), roundDuration(l.P95), roundDuration(l.P99))
	}
}

func (p *printer) unknown(ends []UnknownEnd) {
	if len(ends) == 0 {
		return
	}
	p.title("unknown: what these instances counted since is not in the report")
	p.cells("instance", "incarnation", "since", "in flight then", "")
	for _, e := range ends[max(0, len(ends)-maxListedUnknown):] {
		since := "nothing was copied"
		if !e.Since.IsZero() {
			since = e.Since.UTC().Format(timeFormat)
		}
		p.cells(e.Instance, formatUint(e.Incarnation), since, formatInt(e.InFlight), e.Reason)
	}
	if more := len(ends) - maxListedUnknown; more > 0 {
		p.line("and %d earlier ones, see --output json", more)
	}
}

func (p *printer) unplaced(all []Unplaced) {
	for _, u := range all {
		p.line("not placed in time: %d requests received between %s and %s",
			u.Received, u.From.UTC().Format(timeFormat), u.To.UTC().Format(timeFormat))
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// roundDuration formats a duration with about three significant digits.
func roundDuration(d time.Duration) string {
	switch {
	case d >= time.Minute:
		return d.Round(time.Second).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= 10*time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}
