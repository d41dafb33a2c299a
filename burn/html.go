package burn

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/cockroachdb/errors"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
	"rounded": rounded,
	"bar":     func(fraction float64) float64 { return min(1, max(0, fraction)) * 100 },
}).Parse(pageText))

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
		o, err := newPageObjective(active)
		if err != nil {
			return err
		}
		data.Objectives = append(data.Objectives, o)
	}
	return errors.Wrap(page.Execute(w, data), "writing the burn page")
}

func newPageObjective(o *Objective) (pageObjective, error) {
	p := pageObjective{Objective: o, Title: o.title(), TimeLeft: o.timeLeft(), Action: o.action()}
	for i := range o.Rates {
		p.Rates = append(p.Rates, o.Rates[i].text())
	}
	var err error
	p.Chart, err = o.chart()
	return p, err
}
