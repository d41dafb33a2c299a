package ledger

import (
	"testing"
	"time"
)

// stateAt returns a state with one incarnation that served ten requests and whose
// last copy was made at the given time.
func stateAt(t *testing.T, at time.Time) *State {
	t.Helper()
	account := testAccount(t, ID{"one", 1}, at.Add(-time.Second))
	serveMany(account, 0, 10)
	account.Close()
	state := NewState()
	state.Apply(account.Snapshot(at, 0))
	return state
}

func TestTrimDropsLatenciesBeforeCounts(t *testing.T) {
	const day = 24 * time.Hour
	cases := []struct {
		age       time.Duration
		served    uint64
		latencies bool
		dropped   bool
	}{
		{day, 10, true, false},
		{8 * day, 10, false, false},
		{93 * day, 0, false, true},
	}
	for _, c := range cases {
		report := NewReport(ReportInput{Now: testStart, State: stateAt(t, testStart.Add(-c.age))})
		if report.Total.Served != c.served || (len(report.Latencies) > 0) != c.latencies || report.DroppedUpTo.IsZero() == c.dropped {
			t.Errorf("%s: %d served, %d latencies, dropped up to %s", c.age, report.Total.Served, len(report.Latencies), report.DroppedUpTo)
		}
	}
}

// The clock of one instance is a year ahead. If voters adopted its time, the counters
// of all other instances would appear a year old, be dropped, and be missing from
// every window.
func TestWrongClockOfOneInstanceDoesNotAffectOthers(t *testing.T) {
	store := openStore(t, t.TempDir(), fullDisk{full: new(bool)})
	right := testAccount(t, ID{"right", 1}, testStart)
	wrong := testAccount(t, ID{"wrong", 1}, testStart.Add(365*24*time.Hour))
	serveMany(right, 0, 10)
	serveMany(wrong, 0, 5)
	copyTo(t, right, store, nil, testStart)
	copyTo(t, wrong, store, nil, testStart.Add(365*24*time.Hour))
	store.state.Trim(store.clock.Now())
	query := Query{Since: testStart.Add(-5 * time.Minute)}
	report := NewReport(ReportInput{Query: query, Now: testStart, State: store.state})
	if report.Total.Served != 15 {
		t.Errorf("%d of 15 served", report.Total.Served)
	}
	for _, end := range report.Unknown {
		if !end.Since.Equal(testStart) {
			t.Errorf("%s is unknown since %s", end.Instance, end.Since)
		}
	}
}
