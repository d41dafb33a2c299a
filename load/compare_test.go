package load

import (
	"slices"
	"testing"

	"celeryport/ledger"
)

// A report that counts a request twice after a restart, omits one, or counts it under
// a wrong outcome looks plausible. Only the callers' counts reveal it.
func TestCompareFindsCountsThatCallersContradict(t *testing.T) {
	accounts := []Account{{Organisation: "bottega", Class: "hold", Served: 10, Refused: 4, Failed: 2, Unanswered: 3}}
	row := func(received, served, refused, failed uint64) []ledger.Row {
		return []ledger.Row{
			{Organisation: "bottega", Class: "hold", Target: "a", Received: received - 1, Served: served - 1, Refused: refused, Failed: failed},
			{Organisation: "bottega", Class: "hold", Target: "b", Received: 1, Served: 1},
		}
	}
	dead := []ledger.UnknownEnd{{Instance: "entry-1"}}
	for _, test := range []struct {
		name    string
		rows    []ledger.Row
		unknown []ledger.UnknownEnd
		want    []string // the counts that differ
		missing bool
	}{
		{"equal", row(16, 10, 4, 2), nil, nil, false},
		{"unanswered requests reported as failed", row(19, 10, 4, 5), nil, nil, false},
		{"unanswered requests reported as served", row(19, 13, 4, 2), nil, nil, false},
		{"one served too many", row(20, 14, 4, 2), nil, []string{"received", "served"}, false},
		{"a refusal counted as a failure", row(16, 10, 3, 3), nil, []string{"refused"}, false},
		{"one omitted", row(15, 9, 4, 2), nil, []string{"received", "served"}, false},
		{"one omitted while the end of an instance is unknown", row(15, 9, 4, 2), dead, []string{"received", "served"}, true},
		{"one too many while the end of an instance is unknown", row(20, 10, 8, 2), dead, []string{"received", "refused"}, false},
		{"an organisation that sent nothing", append(row(16, 10, 4, 2), ledger.Row{Organisation: "atelier", Received: 1, Served: 1}), nil, []string{"received", "served"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var counts []string
			for _, d := range Compare(accounts, &ledger.Report{Rows: test.rows, Unknown: test.unknown}) {
				counts = append(counts, d.Count)
				if d.Missing != test.missing {
					t.Errorf("%v: missing %v", d, d.Missing)
				}
			}
			if !slices.Equal(counts, test.want) {
				t.Errorf("differs in %v, want %v", counts, test.want)
			}
		})
	}
}

func TestAccountsCountOutcomesReportedToCallers(t *testing.T) {
	a := accounts{}
	w := &Work{Organisation: "bottega", Class: &Class{Name: "hold"}}
	for _, o := range []Outcome{
		{Result: Served},
		{Result: Refused, Status: 429, Reason: "share"},
		{Result: Refused, Reason: reasonUnreachable},
		{Result: Failed, Reason: "upstream"},
		{Result: Failed, Reason: reasonCutOff},
		{Result: Failed, Reason: reasonConnectionBroken},
		{Result: Lost, Reason: reasonTimeout},
		{Result: Crossed, Reason: reasonWrongText},
	} {
		a.add(w, &o)
	}
	want := Account{Organisation: "bottega", Class: "hold", Served: 1, Refused: 1, Failed: 1, Unanswered: 4}
	if got := a.list(); len(got) != 1 || got[0] != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
