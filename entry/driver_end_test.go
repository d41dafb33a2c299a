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

// droppingDispatcher ignores every request that it is offered.
type droppingDispatcher struct{ dispatch.Dispatcher }

func (droppingDispatcher) Offer(time.Time, *request.Request) {}

func TestDeadlineHoldsIfDispatcherLosesRequest(t *testing.T) {
	// A fault in the dispatcher loses a request. Without a deadline of its own the
	// exchange would never end, and the caller would wait forever.
	warmUp(t)
	inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *testBed) {
		b.server.driver.dispatcher = droppingDispatcher{b.server.driver.dispatcher}
		c := completion("p", false)
		c.headers = map[string]string{headerDeadlineMs: "700"}
		got := b.do(c)
		if got.verdict != "not-run" || got.took != 700*time.Millisecond {
			t.Errorf("got %s after %v", got.verdict, got.took)
		}
		b.checkCounts()
	})
}

func TestShutdownCutsOffNoRequest(t *testing.T) {
	// An instance is restarted under load. Callers still use its address for
	// keep_seconds, and long answers are in progress; none of them may be cut off.
	warmUp(t)
	slow := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		for range 4 {
			<-time.NewTimer(time.Second).C
			writeFrame(conn, frameOf(r, wire.Frame{Heartbeat: true}))
		}
		endAnswer(conn, r, "one ")
	}
	inBubble(t, map[string]script{"e1": slow}, func(t *testing.T, b *testBed) {
		running := make(chan reply)
		go func() { running <- b.do(completion("p", true)) }()
		synctest.Wait()
		stopped := make(chan error)
		go func() { stopped <- b.server.Shutdown(t.Context()) }()
		synctest.Wait()
		if got := b.do(call{path: pathAddresses}); strings.Contains(string(got.body), "addr-a") {
			t.Errorf("listed while draining: %s", got.body)
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

func TestShutdownDoesNotWaitForDeadEngine(t *testing.T) {
	// An engine is killed in the middle of an answer, so a cancel is never confirmed; then
	// the instance is shut down. If it waited for the cancel it would take ten minutes,
	// and the restart would appear to hang.
	warmUp(t)
	inBubble(t, map[string]script{"e1": breaksAfter("one ")}, func(t *testing.T, b *testBed) {
		engine := b.fakeUpstreams["e1"]
		engine.mu.Lock()
		engine.unansweredCancels = 1 << 20
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

func TestDisconnectOfCallerCancelsItsRequest(t *testing.T) {
	// A caller disconnects in the middle of an answer. If this went undetected, the
	// engine would keep computing, and hold memory that others need.
	warmUp(t)
	endless := func(conn net.Conn, r *fasthttp.Request) {
		startAnswer(conn, r, "one ")
		_, _ = io.Copy(io.Discard, conn)
	}
	inBubble(t, map[string]script{"e1": endless}, func(t *testing.T, b *testBed) {
		b.leaveAfterFirstText(completion("p", true))
		<-time.NewTimer(3 * time.Second).C
		if n := b.server.InFlight(); n != 0 {
			t.Errorf("%d requests in flight after the caller left", n)
		}
		if _, cancels := b.fakeUpstreams["e1"].counts(); cancels == 0 {
			t.Error("the engine got no cancel")
		}
		b.checkCounts()
	})
}
