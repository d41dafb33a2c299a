package load

import (
	"fmt"

	"celeryport/ledger"
)

// Difference is one number of a report that its callers contradict.
type Difference struct {
	Organisation string
	Class        string
	Count        string // which number
	Reported     int
	Least        int // that the callers know of
	Most         int // that they allow
	Missing      bool
}

// String implements fmt.Stringer.
func (d Difference) String() string {
	return fmt.Sprintf("%s/%s: %s reported %d, callers know of %d to %d",
		d.Organisation, d.Class, d.Count, d.Reported, d.Least, d.Most)
}

// Compare checks a report of the system against what its callers were told. What
// a caller was not told may have been counted as any end, so it widens the
// allowed range. While the end of an instance is unknown, what it counted last is
// missing from the report: its shortfalls are then marked as Missing and prove
// nothing, but no number may ever be too high.
func Compare(told []Account, report *ledger.Report) []Difference {
	rows := map[[2]string]*ledger.Row{}
	for i := range report.Rows {
		addRow(rows, &report.Rows[i])
	}
	var found []Difference
	for _, account := range told {
		name := [2]string{account.Organisation, account.Class}
		row := rows[name]
		if row == nil {
			row = &ledger.Row{}
		}
		delete(rows, name)
		found = append(found, compareAccount(&account, row)...)
	}
	for name, row := range rows {
		found = append(found, compareAccount(&Account{Organisation: name[0], Class: name[1]}, row)...)
	}
	for i := range found {
		found[i].Missing = len(report.Unknown) > 0 && found[i].Reported < found[i].Least
	}
	return found
}

// addRow sums the rows of one organisation and class over their targets.
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
	var found []Difference
	check := func(count string, reported uint64, least int) {
		most := least + a.Unanswered
		if int(reported) >= least && int(reported) <= most {
			return
		}
		found = append(found, Difference{
			Organisation: a.Organisation, Class: a.Class, Count: count,
			Reported: int(reported), Least: least, Most: most,
		})
	}
	check("received", row.Received, a.Served+a.Refused+a.Failed)
	check("served", row.Served, a.Served)
	check("refused", row.Refused, a.Refused)
	check("failed", row.Failed, a.Failed)
	return found
}
