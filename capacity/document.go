package capacity

import (
	_ "embed" // the prose of the page
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"

	"celeryport/slopes"
)

//go:embed page.tmpl
var pageText string

// page is what the prose can name.
type page struct {
	Target  Target
	Control *slopes.Result
	Traffic *Traffic
	Rows    map[string]string
	Over    []Row
	Today   float64 // bytes a second of the leader of today's larger deployment
	Claims  Claims
	InForce InForce
	Losses  Losses
	Spreads []Spread
	Trials  []Checked
}

// Document renders docs/CAPACITY.md.
func Document(t Target, s *Sources) (string, error) {
	m := NewModel(t, s)
	parsed, err := template.New("page").Funcs(template.FuncMap{
		"number": number, "percent": percent, "percent2": smallPercent, "millions": millions, "median": median, "micro": micro, "bytes": Bytes.format, "rate": BytesPerSecond.format,
	}).Parse(pageText)
	if err != nil {
		return "", errors.Wrap(err, "page")
	}
	var b strings.Builder
	err = parsed.Execute(&b, page{
		Target: t, Control: m.control, Traffic: m.traffic, Rows: m.tables(), Over: m.over(),
		Today:  m.leaderBytes(todayUpstreams).at(todayInstances),
		Claims: m.Claims(), InForce: m.InForce(), Losses: m.Losses(), Spreads: m.Spreads(), Trials: m.Checks(),
	})
	return b.String(), errors.Wrap(err, "page")
}

func (m *Model) tables() map[string]string {
	return map[string]string{
		"entry": table(m.EntryRows()), "traffic": table(m.TrafficRows()),
		"follower": table(m.FollowerRows()), "leader": table(m.LeaderRows()),
		"setaside": table(m.SetAsideRows()), "reconciler": table(m.ReconcilerRows()),
	}
}

// over lists the rows above their limit, worst first.
func (m *Model) over() []Row {
	var over []Row
	for _, rows := range [][]Row{m.EntryRows(), m.FollowerRows(), m.LeaderRows(), m.ReconcilerRows()} {
		for _, r := range rows {
			if margin, ok := r.Margin(); ok && margin < 0 {
				over = append(over, r)
			}
		}
	}
	sortByMargin(over)
	return over
}
