package burn

import (
	_ "embed"
	"html/template"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

//go:embed page.html
var pageText string

// page parses the template when it is first used: an instance that serves no page does not hold it.
var page = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("burn").Funcs(template.FuncMap{
		"percent": percent,
		"rounded": rounded,
		"bar":     func(fraction float64) float64 { return min(1, max(0, fraction)) * 100 },
	}).Parse(pageText))
})

// pageData is the data of the page template.
type pageData struct {
	Table      *Table
	At         string
	Windows    []string
	Objectives []pageObjective
}

type pageObjective struct {
	*Objective
	Title    string
	TimeLeft string
	Action   string
	Rates    []string
	Chart    template.HTML
}

// WriteHTML writes the table as a self-contained HTML page with inline SVG charts
// and without scripts.
func (t *Table) WriteHTML(w io.Writer) error {
	data := pageData{Table: t, At: t.At.UTC().Format(timeFormat)}
	for _, window := range windows {
		data.Windows = append(data.Windows, shortWindow(window))
	}
	for _, active := range t.active() {
		data.Objectives = append(data.Objectives, newPageObjective(active))
	}
	return errors.Wrap(page().Execute(w, data), "writing the burn page")
}

func newPageObjective(o *Objective) pageObjective {
	p := pageObjective{Objective: o, Title: o.title(), TimeLeft: o.timeLeft(), Action: o.action()}
	for i := range o.Rates {
		p.Rates = append(p.Rates, o.Rates[i].text())
	}
	p.Chart = o.chart()
	return p
}
