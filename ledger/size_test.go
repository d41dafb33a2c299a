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

// wideTree has so many organisations, each in five classes.
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

// serveWide serves n requests spread over all series, with latencies as a load
// has them.
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

// BenchmarkCopy gives the size and the cost of one copy by the requests since
// the last one, for 260 organisations in five classes.
func BenchmarkCopy(b *testing.B) {
	const organisations = 260
	for _, requests := range []int{0, 32, 160, 960} {
		b.Run(fmt.Sprint(requests, "-requests"), func(b *testing.B) {
			account := NewAccount(ID{"instance-1", 1}, testStart, silent())
			account.Configure(wideTree(b, organisations))
			serveWide(account, 0, 20_000, organisations)
			sequence := account.Take(testStart, 0).To
			size, next := 0, 20_000
			for b.Loop() {
				b.StopTimer()
				serveWide(account, next, requests, organisations)
				next += requests
				b.StartTimer()
				c := account.Take(testStart, sequence)
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

// BenchmarkMerge gives what one synced copy costs a voter, and what the state of
// one instance takes in its memory.
func BenchmarkMerge(b *testing.B) {
	const organisations, requests = 260, 160
	book, err := OpenBook(b.TempDir(), wal.OS{}, silent(), fixedClock{testStart})
	if err != nil {
		b.Fatal(err)
	}
	account := NewAccount(ID{"instance-1", 1}, testStart, silent())
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
		if position, err = book.Merge(encoded); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkState gives the memory of the state of a voter by instances.
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
					account := NewAccount(ID{fmt.Sprint("instance-", i), 1}, testStart, silent())
					account.Configure(tree)
					serveWide(account, 0, requests, organisations)
					state.Apply(account.Take(testStart, 0))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes/state")
				runtime.KeepAlive(state)
			}
		})
	}
}
