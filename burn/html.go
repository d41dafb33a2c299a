package burn

import (
	_ "embed"
	"io"

	"github.com/cockroachdb/errors"
)

// pageHead is the page up to its first heading.
//
//go:embed page_head.html
var pageHead string

// WriteHTML writes the table as a self-contained HTML page with inline SVG charts
// and without scripts.
func (t *Table) WriteHTML(w io.Writer) error {
	var d document
	d.add("%s", markup(pageHead))
	d.add("<h1>Service-level burn</h1>\n<p>At %s. A burn rate of 1 spends the error budget exactly within its period.</p>\n", t.At.UTC().Format(timeFormat))
	if t.Unplaced > 0 {
		d.add("<p>Not in any window: %s requests that were learned too late to place in time.</p>\n", t.Unplaced)
	}
	if t.UnknownInstances > 0 {
		d.add("<p>Instances of which the end is unknown: %s; what they counted last is not shown.</p>\n", t.UnknownInstances)
	}
	active := t.active()
	d.addTable(active)
	for _, o := range active {
		d.addObjective(o)
	}
	d.add("</body>\n</html>\n")
	_, err := w.Write(d.text.Bytes())
	return errors.Wrap(err, "writing the burn page")
}

// addTable writes the table with one row for each objective.
func (d *document) addTable(objectives []*Objective) {
	d.add("<table>\n<tr><th>Class</th><th class=\"text\">Objective</th><th>Goal</th><th>Total</th><th>Missed</th><th>Budget left</th><th>Lasts</th>")
	for _, window := range windows {
		d.add("<th>%s</th>", shortWindow(window))
	}
	d.add("<th class=\"text\">Action</th></tr>\n")
	for _, o := range objectives {
		d.add("<tr><td>%s</td><td class=\"text\">%s</td><td>%s</td><td>%s</td><td>%s</td>\n", o.Class, o.title(), percent(o.Goal), o.Total, o.Bad)
		d.add("<td><span class=\"bar\"><span style=\"width: %s%%\"></span></span> %s</td><td>%s</td>", barPercent(o.BudgetLeft), rounded(o.BudgetLeft), o.timeLeft())
		for i := range o.Rates {
			d.add("<td>%s</td>", o.Rates[i].text())
		}
		d.add("<td class=\"text %s\">%s</td></tr>\n", o.action(), o.action())
	}
	d.add("</table>\n")
}

// addObjective writes the chart of one objective and its burners.
func (d *document) addObjective(o *Objective) {
	d.add("<h2>%s: %s</h2>\n%s\n", o.Class, o.title(), o.chart())
	if len(o.PeriodBurners) == 0 {
		return
	}
	d.add("<table>\n<tr><th>Organisation</th><th class=\"text\">Cause</th><th>Missed in the period</th><th>Share</th></tr>\n")
	for i := range o.PeriodBurners {
		b := &o.PeriodBurners[i]
		d.add("<tr><td>%s</td><td class=\"text\">%s</td><td>%s</td><td>%s</td></tr>\n", b.Organisation, b.Cause, b.Bad, rounded(b.Share))
	}
	d.add("</table>\n")
}

// barPercent returns the filled part of a bar in percent.
func barPercent(fraction float64) float64 { return min(1, max(0, fraction)) * 100 }
