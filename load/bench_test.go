package load

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkRun sends requests to a fake instance over loopback TCP as fast as
// possible. The time includes the work of the fake instance, so with -cpu 1 it gives
// a lower bound of the rate that the load generator can send on one core.
func BenchmarkRun(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := ln.Addr().String()
	entry := &fakeEntry{prompt: answerCorrectly}
	server := &fasthttp.Server{
		Handler:            func(ctx *fasthttp.RequestCtx) { entry.handle(ctx, []string{address}) },
		MaxRequestBodySize: 8 << 20, Logger: discardLogger{},
	}
	go server.Serve(ln)
	defer server.Shutdown()
	mix, err := Aretusa().Select([]string{"counter"})
	if err != nil {
		b.Fatal(err)
	}
	const unbounded = 1e6
	report, err := Run(context.Background(), Options{
		Mix: mix, Keys: Keys{"bottega": "key"}, To: []string{address},
		Rate: unbounded, Requests: b.N, MaxInFlight: b.N + 1,
	})
	if err != nil || report.All.Served != b.N {
		b.Fatalf("%v, %+v", err, report)
	}
	b.ReportMetric(float64(b.N)/report.Seconds, "requests/s")
}
