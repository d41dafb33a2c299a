package client

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkServiceCall compares calls on a new connection each, as the client
// makes them, with calls on pooled connections, over loopback. The difference is
// the cost of never sending on a connection that may already be dead.
func BenchmarkServiceCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("held") }}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Shutdown() })
	address := listener.Addr().String()
	b.Run("own-connection", func(b *testing.B) {
		c := New(nil, "", owner, DefaultTiming)
		for b.Loop() {
			call := &ServiceCall{Address: address, Path: "/x", Request: "r", Remaining: DefaultTiming.Control, MaxAnswer: 100}
			if _, failed := c.Service(b.Context(), call); failed != nil {
				b.Fatal(failed)
			}
		}
	})
	b.Run("pooled-connection", func(b *testing.B) {
		c := &fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
		for b.Loop() {
			if _, _, err := c.Get(nil, "http://"+address+"/x"); err != nil {
				b.Fatal(err)
			}
		}
	})
}
