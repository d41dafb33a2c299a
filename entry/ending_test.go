package entry

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/upstream/wire"
)

// deaf is a dispatcher that forgets every request.
type deaf struct{ dispatch.Dispatcher }

func (deaf) Offer(time.Time, *request.Request) {}

func TestDeadlineHoldsWhateverTheDispatcherDoes(t *testing.T) {
	// A fault in the dispatcher loses a request. Without a deadline of its own
	// the exchange would never end, and the caller would wait for ever.
	warm(t)
	inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *bench) {
		b.server.driver.dispatcher = deaf{b.server.driver.dispatcher}
		c := completion("p", false)
		c.headers = map[string]string{headerDeadlineMs: "700"}
		got := b.do(c)
		if got.verdict != "not-run" || got.took != 700*time.Millisecond {
			t.Errorf("got %s after %v", got.verdict, got.took)
		}
		b.checkCounts()
	})
}

func TestShutdownCutsOffNothing(t *testing.T) {
	// An operator restarts an instance under load. Callers still hold its address
	// for keep_seconds, and long answers are under way; whoever is cut off idles
	// a placement line.
	warm(t)
	slow := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		for range 4 {
			<-time.NewTimer(time.Second).C
			writeFrame(conn, frameOf(r, wire.Frame{Heartbeat: true}))
		}
		endAnswer(conn, r, "one ")
	}
	inBubble(t, map[string]script{"e1": slow}, func(t *testing.T, b *bench) {
		running := make(chan reply)
		go func() { running <- b.do(completion("p", true)) }()
		synctest.Wait()
		stopped := make(chan error)
		go func() { stopped <- b.server.Shutdown(t.Context()) }()
		synctest.Wait()
		if got := b.do(call{path: pathAddresses}); strings.Contains(string(got.body), "addr-a") {
			t.Errorf("handed out while draining: %s", got.body)
		}
		accepted := b.do(completion("late caller", false))
		if accepted.status != 200 {
			t.Errorf("a caller within keep_seconds got %d: %s", accepted.status, accepted.body)
		}
		if got := <-running; !strings.Contains(string(got.body), "[DONE]") {
			t.Errorf("the running answer was cut off: %s", got.body)
		}
		if err := <-stopped; err != nil {
			t.Errorf("shutdown: %v", err)
		}
		b.stopped = true
	})
}

func TestShutdownDoesNotWaitForADeadEngine(t *testing.T) {
	// An engine was killed in the middle of an answer, so that the cancel is never
	// confirmed; then the instance is told to end. It would stay for ten minutes,
	// and an operator would think that the restart hangs.
	warm(t)
	inBubble(t, map[string]script{"e1": breaks("one ")}, func(t *testing.T, b *bench) {
		engine := b.peers["e1"]
		engine.mu.Lock()
		engine.deaf = 1 << 20
		engine.mu.Unlock()
		c := completion("p", false)
		c.headers = map[string]string{headerNoRepeat: "true"}
		b.do(c)
		start := time.Now()
		if err := b.server.Shutdown(t.Context()); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		b.stopped = true
		keep := time.Duration(keepSeconds(b.plane.View()))*time.Second + drainMargin
		if took := time.Since(start); took > keep+2*cancelGrace {
			t.Errorf("the shutdown took %v", took)
		}
	})
}

func TestCallerWhoLeavesEndsTheWork(t *testing.T) {
	// A client closes the shop's browser tab in the middle of an answer. Without
	// notice the engine would go on for nobody, with memory that others need.
	warm(t)
	endless := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		_, _ = io.Copy(io.Discard, conn)
	}
	inBubble(t, map[string]script{"e1": endless}, func(t *testing.T, b *bench) {
		b.leaveAfterFirstText(completion("p", true))
		<-time.NewTimer(3 * time.Second).C
		if n := b.server.InFlight(); n != 0 {
			t.Errorf("%d requests in flight after the caller left", n)
		}
		if _, cancels := b.peers["e1"].counted(); cancels == 0 {
			t.Error("the engine was not told to cancel")
		}
		b.checkCounts()
	})
}
