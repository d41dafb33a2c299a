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

// BenchmarkRequest measures one complete request over in-memory connections. It
// includes the caller and the engine, so it is an upper bound of the cost of the
// instance itself.
func BenchmarkRequest(b *testing.B) {
	for _, tokens := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("%d-tokens", tokens), func(b *testing.B) {
			testBed := newBenchmarkTestBed(b, answers("one ", "two "))
			c := completion(strings.Repeat("abcd", tokens), false)
			c.headers = map[string]string{headerClass: "audit"}
			b.ReportAllocs()
			for b.Loop() {
				if got := testBed.do(c); got.status != fasthttp.StatusOK {
					b.Fatalf("status %d: %s", got.status, got.body)
				}
			}
		})
	}
}

// BenchmarkStreamToken measures the cost of each token of a streamed answer, with
// answers of many frames of one token each.
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
	testBed := newBenchmarkTestBed(b, endless)
	c := completion("p", true)
	for b.Loop() {
		if got := testBed.do(c); !strings.HasSuffix(string(got.body), "[DONE]\n\n") {
			b.Fatalf("%s", got.body[max(0, len(got.body)-200):])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

// newBenchmarkTestBed is a test bed with one engine, on the real clock.
func newBenchmarkTestBed(b *testing.B, engine script) *testBed {
	b.Helper()
	testBed := newTestBed(b, map[string]script{"e1": engine})
	testBed.plane.view.LeaseUntil = time.Now().Add(time.Hour)
	b.Cleanup(func() {
		_ = testBed.server.close(b.Context())
		testBed.closeUpstreams()
	})
	return testBed
}
