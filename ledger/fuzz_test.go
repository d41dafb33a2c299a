package ledger

import (
	"io"
	"testing"
	"time"
)

// Copies come from other processes. No decodable copy may make the voter panic,
// unbalance its report or prevent the report from being printed.
func FuzzCopy(f *testing.F) {
	account := testAccount(f, ID{"one", 1}, testStart)
	serveMany(account, 0, 3)
	for _, c := range []*Copy{account.Snapshot(testStart, 0), account.Snapshot(testStart, 1), {ID: ID{"one", 1}}} {
		encoded, err := encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		c, err := decodeCopy(encoded)
		if err != nil {
			return
		}
		state := NewState()
		state.Apply(c)
		state.Apply(c)
		for _, query := range []Query{{}, {Since: testStart.Add(-time.Minute)}} {
			report := NewReport(ReportInput{Query: query, Now: testStart, State: state})
			if !report.Total.Balanced() {
				t.Errorf("not balanced: %+v", report.Total)
			}
			if err := report.WriteTable(io.Discard); err != nil {
				t.Error(err)
			}
		}
	})
}
