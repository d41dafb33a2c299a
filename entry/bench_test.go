package entry

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// BenchmarkRequest measures one whole request through an instance, caller and
// engine included, over in-memory connections: an upper bound of the instance's
// own part.
func BenchmarkRequest(b *testing.B) {
	for _, tokens := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("%d-tokens", tokens), func(b *testing.B) {
			bench := newBenchmark(b, answers("one ", "two "))
			c := completion(strings.Repeat("abcd", tokens), false)
			c.headers = map[string]string{headerClass: "audit"}
			b.ReportAllocs()
			for b.Loop() {
				if got := bench.do(c); got.status != fasthttp.StatusOK {
					b.Fatalf("status %d: %s", got.status, got.body)
				}
			}
		})
	}
}

// BenchmarkStreamToken measures what each token of a streamed answer costs, by
// answers of many frames with one token each.
func BenchmarkStreamToken(b *testing.B) {
	const tokens = 2000
	endless := func(conn net.Conn, r *fasthttp.Request) {
		words := make([]string, tokens)
		for i := range words {
			words[i] = "word "
		}
		startAnswer(conn, r, words...)
		whole := strings.Join(words, "")
		writeFrame(conn, frameOf(r, wire.Frame{Offset: tokens, Final: true, Length: len(whole), Checksum: xxhash.Sum64String(whole)}))
		_, _ = conn.Write([]byte("0\r\n\r\n"))
	}
	bench := newBenchmark(b, endless)
	c := completion("p", true)
	for b.Loop() {
		if got := bench.do(c); !strings.HasSuffix(string(got.body), "[DONE]\n\n") {
			b.Fatalf("%s", got.body[max(0, len(got.body)-200):])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

// newBenchmark is a bench with one engine, on the real clock.
func newBenchmark(b *testing.B, engine script) *bench {
	b.Helper()
	bench := newBench(b, map[string]script{"e1": engine})
	bench.plane.view.LeaseUntil = time.Now().Add(time.Hour)
	b.Cleanup(func() {
		_ = bench.server.close(b.Context())
		bench.closeUpstreams()
	})
	return bench
}
