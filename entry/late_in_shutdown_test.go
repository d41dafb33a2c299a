package entry

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// Guards against taking a request in a shutdown that the bound of the shutdown then cuts off.
func TestRequestsTakenLateInAShutdownAreFinished(t *testing.T) {
	warmUp(t)
	const (
		takes    = 4 * time.Second
		deadline = 10 * time.Second // of the class
	)
	slow := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		for range int(takes / time.Second) {
			<-time.NewTimer(time.Second).C
			writeFrame(conn, frameOf(r, wire.Frame{Heartbeat: true}))
		}
		endAnswer(conn, r, "one ")
	}
	for _, stream := range []bool{false, true} {
		inBubble(t, map[string]script{"e1": slow}, func(t *testing.T, b *testBed) {
			if got := b.do(completion("before", stream)); got.status != 200 {
				t.Fatalf("a request before the shutdown got %d", got.status)
			}
			keep := time.Duration(keepSeconds(b.plane.View()))*time.Second + drainMargin
			ctx, cancel := context.WithTimeout(t.Context(), deadline+time.Second/10)
			defer cancel()
			stopped := make(chan error)
			go func() { stopped <- b.server.Shutdown(ctx) }()
			synctest.Wait()
			fits := make(chan reply)
			go func() { fits <- b.do(completion("fits", stream)) }()
			time.Sleep(keep - time.Second/5) // just before all requests are refused
			if late := b.do(completion("late", stream)); late.status != 503 || !strings.Contains(string(late.body), "not-run") {
				t.Errorf("a request that is not sure to end got %d: %s", late.status, late.body)
			}
			if got := <-fits; got.status != 200 {
				t.Errorf("a request that is sure to end got %d: %s", got.status, got.body)
			}
			if err := <-stopped; err != nil {
				t.Errorf("shutdown: %v", err)
			}
			b.stopped = true
		})
	}
}
