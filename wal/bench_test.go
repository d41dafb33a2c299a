package wal

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"celeryport/consensus"
)

// BenchmarkAppendSync measures one synced append of a batch of 200-byte entries on
// the disk of the temporary folder.
func BenchmarkAppendSync(b *testing.B) {
	for _, group := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", group), func(b *testing.B) { benchmarkAppend(b, group) })
	}
}

func benchmarkAppend(b *testing.B, group int) {
	o, _ := options(0)
	l, _, err := Open(b.TempDir(), "bench", OS{}, o)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	batch := make([]consensus.Entry, group)
	for i := range batch {
		batch[i] = consensus.Entry{Term: 1, Data: make([]byte, 200)}
	}
	latencies := make([]time.Duration, 0, b.N)
	index := uint64(0)
	for b.Loop() {
		for i := range batch {
			index++
			batch[i].Index = index
		}
		start := time.Now()
		if err := l.Append(nil, batch); err != nil {
			b.Fatal(err)
		}
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
}
