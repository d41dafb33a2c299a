package ledger

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"celeryport/request"
	"celeryport/settings"
	"celeryport/wal"
)

// wideTree returns a settings tree with the given number of organisations and five
// classes.
func wideTree(b *testing.B, organisations int) *settings.Tree {
	b.Helper()
	var text strings.Builder
	for i := range organisations {
		fmt.Fprintf(&text, "[organisation.organisation-%03d]\n", i)
	}
	for i := range 5 {
		fmt.Fprintf(&text, "[class.class-%d]\n", i)
	}
	text.WriteString("[length.short]\nup_to = 4k\n[model.sarto]\n")
	tree, err := settings.ParseTree("tree.ini", []byte(text.String()))
	if err != nil {
		b.Fatal(err)
	}
	return tree
}

// serveWide serves n requests spread over all series, with latencies as under real
// load.
func serveWide(a *Account, first, n, organisations int) {
	for i := first; i < first+n; i++ {
		r := &request.Request{
			ID:           fmt.Sprint(i),
			Organisation: fmt.Sprintf("organisation-%03d", i*7%organisations),
			Class:        fmt.Sprintf("class-%d", i/organisations%5),
			Target:       "sarto",
		}
		a.Received(r)
		spread := time.Duration(i*7919%1000) * time.Millisecond
		a.Served(r, Served{
			PromptTokens: 500 << (i % 9), AnswerTokens: 200, InTime: true,
			FirstToken: 100*time.Millisecond + spread, TokenGap: 20*time.Millisecond + spread/50,
		})
	}
}

// BenchmarkCopy measures the size and the CPU time of one copy by the number of
// requests since the previous one, for 260 organisations in five classes.
func BenchmarkCopy(b *testing.B) {
	const organisations = 260
	for _, requests := range []int{0, 32, 160, 960} {
		b.Run(fmt.Sprint(requests, "-requests"), func(b *testing.B) {
			account := NewAccount(ID{"instance-1", 1}, testStart, discardLogger())
			account.Configure(wideTree(b, organisations))
			serveWide(account, 0, 20_000, organisations)
			sequence := account.Snapshot(testStart, 0).To
			size, next := 0, 20_000
			for b.Loop() {
				b.StopTimer()
				serveWide(account, next, requests, organisations)
				next += requests
				b.StartTimer()
				c := account.Snapshot(testStart, sequence)
				encoded, err := encode(c)
				if err != nil {
					b.Fatal(err)
				}
				sequence, size = c.To, len(encoded)
			}
			b.ReportMetric(float64(size), "bytes/copy")
		})
	}
}

// BenchmarkMerge measures the cost of merging and syncing one copy on a voter.
func BenchmarkMerge(b *testing.B) {
	const organisations, requests = 260, 160
	store, err := OpenStore(b.TempDir(), wal.OS{}, discardLogger(), fixedClock{testStart})
	if err != nil {
		b.Fatal(err)
	}
	account := NewAccount(ID{"instance-1", 1}, testStart, discardLogger())
	account.Configure(wideTree(b, organisations))
	next := 0
	var position []byte
	for b.Loop() {
		b.StopTimer()
		serveWide(account, next, requests, organisations)
		next += requests
		encoded, _, err := account.Copy(testStart, position)
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if position, err = store.Merge(encoded); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkState measures the memory of a voter's state by the number of instances.
func BenchmarkState(b *testing.B) {
	const organisations, requests = 260, 20_000
	for _, instances := range []int{1, 4} {
		b.Run(fmt.Sprint(instances, "-instances"), func(b *testing.B) {
			tree := wideTree(b, organisations)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := NewState()
				for i := range instances {
					account := NewAccount(ID{fmt.Sprint("instance-", i), 1}, testStart, discardLogger())
					account.Configure(tree)
					serveWide(account, 0, requests, organisations)
					state.Apply(account.Snapshot(testStart, 0))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes/state")
				runtime.KeepAlive(state)
			}
		})
	}
}
