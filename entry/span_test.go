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

// smallEngines replaces the view by engines of which a span needs two.
func (b *bench) smallEngines() {
	registry := upstream.NewRegistry(time.Hour)
	for name := range b.peers {
		registry.Apply(time.Now(), upstream.Announcement{
			Name: name, Incarnation: 1, Sequence: 2, Address: name, MemoryTokens: spanEngineTokens, Slots: 16,
			Targets: []string{"sarto"}, Load: upstream.Load{PrefillRate: 20_000},
		})
	}
	b.plane.mu.Lock()
	b.plane.view.Upstreams = registry.Snapshot(time.Now())
	b.plane.mu.Unlock()
}

func (b *bench) heldOn(engine string) int {
	f := b.peers[engine]
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

func spanPrompt(deadlineMs string) call {
	c := completion(strings.Repeat("abcd", spanPromptTokens), false)
	c.headers = map[string]string{headerClass: "audit", headerDeadlineMs: deadlineMs}
	return c
}

func TestSpanKeepsNoPartAfterARefusal(t *testing.T) {
	// Two instances want spans over the same two engines, and the other one has
	// memory on the second. If this one kept its part of the first while it tries
	// again, both would wait for one another to their deadlines, and neither prompt
	// would be answered.
	warm(t)
	inBubble(t, map[string]script{"e1": answers("ok"), "e2": answers("ok")}, func(t *testing.T, b *bench) {
		b.smallEngines()
		b.peers["e2"].full = true
		got := b.do(spanPrompt("30000"))
		<-time.NewTimer(2 * cancelInterval).C
		synctest.Wait()
		first := b.peers["e1"]
		first.mu.Lock()
		reserved := first.reserved
		first.mu.Unlock()
		if reserved == 0 {
			t.Fatalf("nothing was reserved; the test saw no span: %s", got.body)
		}
		if held := b.heldOn("e1") + b.heldOn("e2"); held != 0 {
			t.Errorf("%d parts are still held", held)
		}
		if got.verdict != "not-run" || b.totalCalls() != 0 {
			t.Errorf("told %s after %d calls: %s", got.verdict, b.totalCalls(), got.body)
		}
		b.checkCounts()
	})
}

func TestSpanRunsWithAllItsPartsAndFreesThem(t *testing.T) {
	// A ledger is larger than one engine's memory. It must run only once every part
	// is reserved, keep the parts while it runs, and free them when it has ended;
	// else the engines lose memory with each ledger.
	warm(t)
	var b *bench
	var span []wire.Span
	var heldWhileRunning int
	lead := func(conn net.Conn, r *fasthttp.Request) {
		var body wire.GenerateRequest
		_ = json.Unmarshal(r.Body(), &body)
		span = body.Span
		<-time.NewTimer(spanLease / 2).C
		heldWhileRunning = b.heldOn("e1") + b.heldOn("e2")
		answers("ok")(conn, r)
	}
	inBubble(t, map[string]script{"e1": lead, "e2": lead}, func(t *testing.T, running *bench) {
		b = running
		b.smallEngines()
		got := b.do(spanPrompt("60000"))
		<-time.NewTimer(2 * cancelInterval).C
		if got.status != fasthttp.StatusOK || len(span) != 2 || heldWhileRunning != 2 {
			t.Errorf("status %d, %d parts, %d held while it ran: %s", got.status, len(span), heldWhileRunning, got.body)
		}
		if held := b.heldOn("e1") + b.heldOn("e2"); held != 0 {
			t.Errorf("%d parts are still held after the answer", held)
		}
	})
}
