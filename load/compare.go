package load

import (
	"fmt"

	"celeryport/ledger"
)

// Difference is one count of a usage report that contradicts the outcomes that the
// callers received.
type Difference struct {
	Organisation string
	Class        string
	Count        string // name of the differing count
	Reported     int
	Min          int  // lowest value that agrees with the callers
	Max          int  // highest value that agrees with the callers
	Missing      bool // the shortfall may be due to an instance whose end is unknown
}

// String implements fmt.Stringer.
func (d Difference) String() string {
	return fmt.Sprintf("%s/%s: %s reported %d, callers know of %d to %d",
		d.Organisation, d.Class, d.Count, d.Reported, d.Min, d.Max)
}

// Compare checks a usage report of the system against the outcomes that its callers
// received. The system may have counted an unanswered request under any outcome, so
// unanswered requests widen the allowed range. While the end of an instance is
// unknown, its last counts are missing from the report: counts that are too low are
// then marked as Missing and are no evidence of a fault. A count that is too high
// always is.
func Compare(accounts []Account, report *ledger.Report) []Difference {
	rows := map[[2]string]*ledger.Row{}
	for i := range report.Rows {
		addRow(rows, &report.Rows[i])
	}
	var differences []Difference
	for _, account := range accounts {
		name := [2]string{account.Organisation, account.Class}
		row := rows[name]
		if row == nil {
			row = &ledger.Row{}
		}
		delete(rows, name)
		differences = append(differences, compareAccount(&account, row)...)
	}
	for name, row := range rows {
		differences = append(differences, compareAccount(&Account{Organisation: name[0], Class: name[1]}, row)...)
	}
	for i := range differences {
		differences[i].Missing = len(report.Unknown) > 0 && differences[i].Reported < differences[i].Min
	}
	return differences
}

// addRow adds a row to the sum over the targets of its organisation and class.
func addRow(rows map[[2]string]*ledger.Row, row *ledger.Row) {
	name := [2]string{row.Organisation, row.Class}
	sum := rows[name]
	if sum == nil {
		sum = &ledger.Row{}
		rows[name] = sum
	}
	sum.Received += row.Received
	sum.Served += row.Served
	sum.Refused += row.Refused
	sum.Failed += row.Failed
}

func compareAccount(a *Account, row *ledger.Row) []Difference {
	var differences []Difference
	check := func(count string, reported uint64, lowest int) {
		highest := lowest + a.Unanswered
		if int(reported) >= lowest && int(reported) <= highest {
			return
		}
		differences = append(differences, Difference{
			Organisation: a.Organisation, Class: a.Class, Count: count,
			Reported: int(reported), Min: lowest, Max: highest,
		})
	}
	check("received", row.Received, a.Served+a.Refused+a.Failed)
	check("served", row.Served, a.Served)
	check("refused", row.Refused, a.Refused)
	check("failed", row.Failed, a.Failed)
	return differences
}
