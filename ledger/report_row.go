package ledger

import "celeryport/request"

func newRow(name Series, t *tally) Row {
	c := &t.counters
	row := Row{
		Organisation: name.Organisation,
		Class:        name.Class,
		Target:       name.Target,
		CarriedIn:    t.carriedIn,
		Received:     c.Received(),
		Served:       c.Served(),
		Late:         c.sumOf(KindLate),
		Refused:      c.Refused(),
		Failed:       c.Failed(),
		InFlight:     t.inFlight,
		Unknown:      t.unknown,
		PromptTokens: c.sumOf(KindPromptTokens),
		AnswerTokens: c.sumOf(KindAnswerTokens),
		CachedTokens: c.sumOf(KindCachedTokens),
	}
	if name.Target != "" {
		row.Kind = kindName(name.Kind)
	}
	fillReasons(&row, c)
	return row
}

func fillReasons(row *Row, c *Counters) {
	for i, f := range c.Fields {
		switch f.Kind() {
		case KindRefused:
			row.RefusedBy = append(row.RefusedBy, Refusal{Reason: f.Reason(), Count: c.Values[i]})
		case KindFailed:
			failure := Failure{Reason: f.Reason(), Verdict: f.Verdict(), Count: c.Values[i]}
			row.FailedBy = append(row.FailedBy, failure)
		}
	}
}

func kindName(kind request.Kind) string {
	if kind == request.ServiceCall {
		return "service"
	}
	return "model"
}

// Balanced reports whether the row satisfies the equation of Report.
func (r *Row) Balanced() bool {
	return int64(r.Received)+r.CarriedIn == int64(r.Served+r.Refused+r.Failed)+r.InFlight+r.Unknown
}
