package ledger

import (
	"testing"
	"time"
)

// A voter restarts with an empty disk and receives the whole account of an instance
// that has run for hours. If all of it were attributed to the present, the burn
// rates of the last minutes would raise alerts for requests of past hours.
func TestLateCopyIsNotCountedAsRecentGrowth(t *testing.T) {
	const hours = 5 * time.Hour
	account := testAccount(t, ID{"one", 1}, testStart)
	serveMany(account, 0, 50)
	now := testStart.Add(hours)
	state := NewState()
	position := state.Apply(account.Snapshot(now, 0))
	serveMany(account, 50, 3)
	now = now.Add(time.Second)
	state.Apply(account.Snapshot(now, position))

	cases := []struct {
		ago      time.Duration
		served   uint64
		unplaced uint64
	}{
		{5 * time.Minute, 3, 50},
		{hours + time.Minute, 53, 0},
	}
	for _, c := range cases {
		query := Query{Since: now.Add(-c.ago)}
		report := NewReport(ReportInput{Query: query, Now: now, State: state})
		var unplaced uint64
		for _, u := range report.Unplaced {
			unplaced += u.Received
		}
		if report.Total.Served != c.served || unplaced != c.unplaced || !report.Total.Balanced() {
			t.Errorf("since %s: %d served, %d unplaced", c.ago, report.Total.Served, unplaced)
		}
	}
	if all := NewReport(ReportInput{Now: now, State: state}); all.Total.Served != 53 {
		t.Errorf("%d served in all", all.Total.Served)
	}
}
