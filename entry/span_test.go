package entry

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

const (
	spanEngineTokens = 40_000
	spanPromptTokens = 60_000 // more than one engine holds, less than two
)

// useSmallEngines replaces the engines in the view by ones of which a span needs two.
func (b *testBed) useSmallEngines() {
	registry := upstream.NewRegistry(time.Hour)
	for name := range b.fakeUpstreams {
		registry.Apply(time.Now(), upstream.Announcement{
			Name: name, Incarnation: 1, Sequence: 2, Address: name, MemoryTokens: spanEngineTokens, Slots: 16,
			Targets: []string{"sarto"}, Load: upstream.Load{PrefillRate: 20_000},
		})
	}
	b.plane.mu.Lock()
	b.plane.view.Upstreams = registry.Snapshot(time.Now())
	b.plane.mu.Unlock()
}

func (b *testBed) heldParts(engine string) int {
	f := b.fakeUpstreams[engine]
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

func spanPrompt(deadlineMs string) call {
	c := completion(strings.Repeat("abcd", spanPromptTokens), false)
	c.headers = map[string]string{headerClass: "audit", headerDeadlineMs: deadlineMs}
	return c
}

func TestSpanKeepsNoPartAfterRefusal(t *testing.T) {
	// Two instances want spans over the same two engines, and the other one already holds
	// memory on the second. If this one kept its part on the first while it retries, both
	// would wait for each other until their deadlines, and neither prompt would be
	// answered.
	warmUp(t)
	inBubble(t, map[string]script{"e1": answers("ok"), "e2": answers("ok")}, func(t *testing.T, b *testBed) {
		b.useSmallEngines()
		b.fakeUpstreams["e2"].full = true
		got := b.do(spanPrompt("30000"))
		<-time.NewTimer(2 * cancelInterval).C
		synctest.Wait()
		first := b.fakeUpstreams["e1"]
		first.mu.Lock()
		reserved := first.reserved
		first.mu.Unlock()
		if reserved == 0 {
			t.Fatalf("nothing was reserved, so no span was attempted: %s", got.body)
		}
		if held := b.heldParts("e1") + b.heldParts("e2"); held != 0 {
			t.Errorf("%d parts are still held", held)
		}
		if got.verdict != "not-run" || b.totalCalls() != 0 {
			t.Errorf("verdict %s after %d calls: %s", got.verdict, b.totalCalls(), got.body)
		}
		b.checkCounts()
	})
}

func TestSpanReservesAllPartsAndFreesThem(t *testing.T) {
	// A prompt is larger than the memory of one engine. It must run only once every part
	// is reserved, keep the parts while it runs, and free them when it has ended; otherwise
	// the engines would lose memory with each such prompt.
	warmUp(t)
	var b *testBed
	var span []wire.Span
	var heldWhileRunning int
	lead := func(conn net.Conn, r *fasthttp.Request) {
		var body wire.GenerateRequest
		_ = json.Unmarshal(r.Body(), &body)
		span = body.Span
		<-time.NewTimer(spanLease / 2).C
		heldWhileRunning = b.heldParts("e1") + b.heldParts("e2")
		answers("ok")(conn, r)
	}
	inBubble(t, map[string]script{"e1": lead, "e2": lead}, func(t *testing.T, running *testBed) {
		b = running
		b.useSmallEngines()
		got := b.do(spanPrompt("60000"))
		<-time.NewTimer(2 * cancelInterval).C
		if got.status != fasthttp.StatusOK || len(span) != 2 || heldWhileRunning != 2 {
			t.Errorf("status %d, %d parts, %d held while it ran: %s", got.status, len(span), heldWhileRunning, got.body)
		}
		if held := b.heldParts("e1") + b.heldParts("e2"); held != 0 {
			t.Errorf("%d parts are still held after the answer", held)
		}
	})
}
