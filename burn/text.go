package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	barWidth   = 10
	padding    = 2
	timeFormat = "2006-01-02 15:04:05 MST"
)

// WriteText writes the table as text for a terminal.
func (t *Table) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	lines := []string{"burn at " + t.At.UTC().Format(timeFormat), "", heading()}
	for _, o := range t.active() {
		lines = append(lines, o.line())
	}
	lines = append(lines, "")
	lines = append(lines, t.burnerLines()...)
	lines = append(lines, t.footnotes()...)
	_, err := fmt.Fprintln(out, strings.Join(lines, "\n"))
	return errors.CombineErrors(err, out.Flush())
}

// active returns the objectives that cover at least one request. A class with only
// service calls, for example, has no requests with a first token.
func (t *Table) active() []*Objective {
	var active []*Objective
	for i := range t.Objectives {
		if t.Objectives[i].Total > 0 {
			active = append(active, &t.Objectives[i])
		}
	}
	return active
}

func heading() string {
	cells := []string{"CLASS", "OBJECTIVE", "GOAL", "TOTAL", "MISSED", "BUDGET LEFT", "LASTS"}
	for _, window := range windows {
		cells = append(cells, shortWindow(window))
	}
	return strings.Join(append(cells, "ACTION"), "\t")
}

func (o *Objective) line() string {
	cells := []string{
		o.Class, o.title(), percent(o.Goal), fmt.Sprint(o.Total), fmt.Sprint(o.Bad),
		bar(o.BudgetLeft) + " " + rounded(o.BudgetLeft), o.timeLeft(),
	}
	for _, r := range o.Rates {
		cells = append(cells, r.text())
	}
	return strings.Join(append(cells, o.action()), "\t")
}

func (o *Objective) title() string {
	if o.Bound == "" {
		return string(o.Kind)
	}
	return string(o.Kind) + " " + o.Bound
}

// text formats a rate, or returns "-" if the window had no requests.
func (r *Rate) text() string {
	if r.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", r.Rate)
}

func (o *Objective) timeLeft() string {
	switch {
	case o.DaysLeft == nil:
		return "for ever"
	case *o.DaysLeft == 0:
		return "spent"
	}
	return fmt.Sprintf("%.1f days", *o.DaysLeft)
}

// action returns the most urgent action of the current alerts.
func (o *Objective) action() string {
	action := ""
	for _, a := range o.Alerts {
		if action != Page {
			action = a.Action
		}
	}
	return action
}

func (t *Table) burnerLines() []string {
	var lines []string
	for i := range t.Objectives {
		o := &t.Objectives[i]
		for _, b := range o.Burners {
			lines = append(lines, strings.Join([]string{
				o.Class, string(o.Kind), b.Organisation, b.Cause, fmt.Sprint(b.Bad), bar(b.Share) + " " + rounded(b.Share),
			}, "\t"))
		}
	}
	if len(lines) == 0 {
		return []string{"nothing missed an objective in the last " + shortWindow(burnersWindow)}
	}
	head := []string{
		"what burned in the last " + shortWindow(burnersWindow),
		strings.Join([]string{"CLASS", "OBJECTIVE", "ORGANISATION", "CAUSE", "MISSED", "SHARE"}, "\t"),
	}
	return append(head, lines...)
}

func (t *Table) footnotes() []string {
	var footnotes []string
	if hidden := len(t.Objectives) - len(t.active()); hidden > 0 {
		footnotes = append(footnotes, fmt.Sprintf("objectives without any request, left out: %d", hidden))
	}
	if t.Unplaced > 0 {
		footnotes = append(footnotes, fmt.Sprintf("not in any window: %d requests that were learned too late to place in time", t.Unplaced))
	}
	if t.UnknownInstances > 0 {
		footnotes = append(footnotes, fmt.Sprintf("instances of which the end is unknown: %d, see celeryport report", t.UnknownInstances))
	}
	return footnotes
}

// bar draws a fraction as a bar. Values outside of 0 to 1 are clamped.
func bar(fraction float64) string {
	filled := int(min(1, max(0, fraction))*barWidth + 0.5)
	return "[" + strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled) + "]"
}

func percent(fraction float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", fraction*100), "0"), ".") + "%"
}

// rounded formats a fraction as a percentage without decimals. Goals use percent,
// which keeps up to three.
func rounded(fraction float64) string { return fmt.Sprintf("%.0f%%", fraction*100) }

func shortWindow(d time.Duration) string {
	const day = hoursPerDay * time.Hour
	switch {
	case d >= day:
		return fmt.Sprintf("%dd", d/day)
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
