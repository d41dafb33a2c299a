package ledger

import "testing"

// BenchmarkApply measures the CPU time for applying copies that each hold 160 requests
// of one instance, without decoding and syncing.
func BenchmarkApply(b *testing.B) {
	const organisations, requests = 260, 160
	account := NewAccount(ID{"instance-1", 1}, testStart, discardLogger())
	account.Configure(wideTree(b, organisations))
	state := NewState()
	next, sequence := 0, uint64(0)
	for b.Loop() {
		b.StopTimer()
		serveWide(account, next, requests, organisations)
		next += requests
		c := account.Snapshot(testStart, sequence)
		b.StartTimer()
		sequence = state.Apply(c)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*requests), "ns/request")
	if sequence == 0 {
		b.Fatal("nothing was applied")
	}
}
