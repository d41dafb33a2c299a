package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/claim"
	"celeryport/control"
	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/upstream/wire"
)

// warm runs one exchange outside any bubble: fasthttp starts a global date
// goroutine with the first response, which must not belong to a bubble.
func warm(t *testing.T) {
	t.Helper()
	var response fasthttp.Response
	_ = response.Write(bufio.NewWriter(io.Discard))
	b := newBench(t, map[string]script{"e1": answers("ok")})
	b.do(completion("hello", false))
	if err := b.server.close(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.closeUpstreams()
}

// workerLife is longer than fasthttp's worker pool takes to end by itself.
const workerLife = 15 * time.Second

// inBubble runs the test on virtual time.
func inBubble(t *testing.T, upstreams map[string]script, test func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, upstreams)
		test(t, b)
		b.close()
		<-time.NewTimer(workerLife).C
	})
}

func TestAnswers(t *testing.T) {
	// Engines and services fail in every way they can. What the caller is told
	// must be the whole answer, or a failure whose verdict is true: a caller who
	// reads "not-run" asks again, and a doubled call turns one suit into two
	// invoices.
	warm(t)
	hold := call{path: "/v1/services/cassa/hold", headers: map[string]string{headerClass: "hold"}, body: "x"}
	tests := map[string]struct {
		upstreams map[string]script
		call      call
		status    int
		verdict   string
		contains  string
		calls     int
	}{
		"whole": {map[string]script{"e1": answers("one ", "two")}, completion("p", false), 200, "ran", `"one two"`, 1},
		"streamed": {
			map[string]script{"e1": answers("one ", "two")}, completion("p", true), 200, "ran", "data: [DONE]", 1,
		},
		"engine dies before the first token, other engine serves": {
			map[string]script{"e1": breaks(), "e2": breaks(), "e3": answers("ok")}, completion("p", false), 200, "ran", `"ok"`, -1,
		},
		"engine dies in the middle, rerun goes on": {
			map[string]script{"e1": breaks("one "), "e2": breaks("one ")}, completion("p", true), 200, "ran", `"one "`, -1,
		},
		"no engine":            {map[string]script{"s1": says("x")}, completion("p", false), 503, "not-run", `"no-upstream"`, 0},
		"all engines refuse":   {map[string]script{"e1": refuses}, completion("p", false), 0, "not-run", "", -1},
		"engine never answers": {map[string]script{"e1": hangs}, completion("p", false), 0, "may-have-run", "", -1},
		"service answers":      {map[string]script{"s1": says("held")}, hold, 200, "ran", "held", 1},
		"service closes after reading a call that may not be repeated": {
			map[string]script{"s1": breaksService}, hold, 502, "may-have-run", `"upstream"`, 1,
		},
		"service hangs": {map[string]script{"s1": hangs}, hold, 0, "may-have-run", "", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, test.upstreams, func(t *testing.T, b *bench) {
				got := b.do(test.call)
				if test.status != 0 && got.status != test.status {
					t.Errorf("status %d, want %d", got.status, test.status)
				}
				if got.verdict != test.verdict {
					t.Errorf("verdict %q, want %q: %s", got.verdict, test.verdict, got.body)
				}
				if !strings.Contains(string(got.body), test.contains) {
					t.Errorf("body %s lacks %s", got.body, test.contains)
				}
				if got.took > 10*time.Second+50*time.Millisecond {
					t.Errorf("the final answer took %v, the deadline is 10s", got.took)
				}
				if calls := b.totalCalls(); test.calls >= 0 && calls != test.calls {
					t.Errorf("upstreams saw %d calls, want %d", calls, test.calls)
				}
				b.checkCounts()
			})
		})
	}
}

func TestClaims(t *testing.T) {
	// A caller resends a call that may not be repeated, perhaps to another
	// instance, because the first answer was lost. If it ran again, a bolt of
	// cloth would be cut twice.
	warm(t)
	tests := map[string]struct {
		claim   control.ClaimResult
		status  int
		verdict string
		calls   int
		settled int
	}{
		"won":             {control.ClaimResult{State: control.Won}, 200, "ran", 1, 1},
		"no majority":     {control.ClaimResult{State: control.NoMajority}, 503, "not-run", 0, 0},
		"split":           {control.ClaimResult{State: control.Split}, 503, "not-run", 0, 0},
		"expired":         {control.ClaimResult{State: control.Expired}, 409, "may-have-run", 0, 0},
		"held by another": {control.ClaimResult{State: control.Lost}, 409, "may-have-run", 0, 0},
		"done with answer": {
			control.ClaimResult{State: control.Lost, Outcome: claim.Outcome{Kind: claim.Done, Status: 200, Answer: []byte("held")}},
			200, "ran", 0, 0,
		},
		"done without answer": {
			control.ClaimResult{State: control.Lost, Outcome: claim.Outcome{Kind: claim.Done, Status: 200}}, 409, "ran", 0, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"s1": says("held")}, func(t *testing.T, b *bench) {
				b.plane.claims = func(claim.Key) control.ClaimResult { return test.claim }
				got := b.do(call{
					path: "/v1/services/cassa/hold", body: "x",
					headers: map[string]string{headerClass: "hold", headerKey: "k1"},
				})
				if got.status != test.status || got.verdict != test.verdict {
					t.Errorf("got %d %s: %s", got.status, got.verdict, got.body)
				}
				if calls := b.totalCalls(); calls != test.calls {
					t.Errorf("the service saw %d calls, want %d", calls, test.calls)
				}
				synctest.Wait()
				if len(b.plane.settled) != test.settled {
					t.Errorf("settled %v", b.plane.settled)
				}
				b.checkCounts()
			})
		})
	}
}

func TestClaimIsReleasedOnlyByProof(t *testing.T) {
	// The service could not be reached, so the caller may try again under the
	// same key; or it read the call and closed, so the key must stay taken.
	warm(t)
	for name, test := range map[string]struct {
		script script
		want   []claim.OutcomeKind
	}{
		"refused": {refuses, []claim.OutcomeKind{claim.Released}},
		"unknown": {breaksService, nil},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"s1": test.script}, func(t *testing.T, b *bench) {
				b.do(call{
					path: "/v1/services/cassa/hold", body: "x",
					headers: map[string]string{headerClass: "hold", headerKey: "k1"},
				})
				synctest.Wait()
				if len(b.plane.settled) != len(test.want) {
					t.Fatalf("settled %v, want %v", b.plane.settled, test.want)
				}
				for i, kind := range test.want {
					if b.plane.settled[i].Kind != kind {
						t.Errorf("settled %v, want %v", b.plane.settled[i].Kind, kind)
					}
				}
			})
		})
	}
}

func TestRefusalsBeforeAdmission(t *testing.T) {
	warm(t)
	big := completion(strings.Repeat("x", 9<<20), false)
	tests := map[string]struct {
		call   call
		change func(b *bench)
		status int
		reason string
	}{
		"unknown key":       {call{path: pathCompletions, headers: map[string]string{"Authorization": "Bearer no"}, body: "{}"}, nil, 401, "unauthorised"},
		"no JSON":           {call{path: pathCompletions, body: "{"}, nil, 400, "bad-request"},
		"no prompt":         {call{path: pathCompletions, body: `{"model":"sarto"}`}, nil, 400, "bad-request"},
		"unknown model":     {call{path: pathCompletions, body: `{"model":"x","prompt":"p"}`}, nil, 404, "not-found"},
		"unknown class":     {call{path: pathCompletions, headers: map[string]string{headerClass: "x"}, body: "{}"}, nil, 400, "bad-request"},
		"unknown service":   {call{path: "/v1/services/x/y", body: "{}"}, nil, 404, "not-found"},
		"bad deadline":      {call{path: pathCompletions, headers: map[string]string{headerDeadlineMs: "-1"}, body: "{}"}, nil, 400, "bad-request"},
		"unclear no-repeat": {call{path: pathCompletions, headers: map[string]string{headerNoRepeat: "yes"}, body: "{}"}, nil, 400, "bad-request"},
		"endless key":       {call{path: pathCompletions, headers: map[string]string{headerKey: strings.Repeat("k", 300)}, body: "{}"}, nil, 400, "bad-request"},
		"body too large":    {big, nil, 413, "body-too-large"},
		"unknown path":      {call{path: "/v2/x", body: "{}"}, nil, 404, "not-found"},
		"lease has lapsed":  {completion("p", false), func(b *bench) { b.plane.view.LeaseUntil = time.Now().Add(-1) }, 503, "no-lease"},
		"no settings yet":   {completion("p", false), func(b *bench) { b.plane.view.Tree = nil }, 503, "no-lease"},
		"instance refusing": {completion("p", false), func(b *bench) { b.server.draining.set(phaseRefusing) }, 503, "draining"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *bench) {
				if test.change != nil {
					test.change(b)
				}
				got := b.do(test.call)
				var answer errorAnswer
				if err := json.Unmarshal(got.body, &answer); err != nil {
					t.Fatalf("%v: %s", err, got.body)
				}
				if got.status != test.status || answer.Error.Type != test.reason || got.verdict != "not-run" {
					t.Errorf("got %d %s %s: %s", got.status, answer.Error.Type, got.verdict, got.body)
				}
				if test.reason == "draining" && (len(answer.Addresses) != 1 || answer.Addresses[0].Address != "addr-b") {
					t.Errorf("other addresses: %v", answer.Addresses)
				}
				if calls := b.totalCalls(); calls != 0 {
					t.Errorf("an upstream saw %d calls", calls)
				}
				if got.took > 0 {
					t.Errorf("the refusal was held back for %v", got.took)
				}
				b.checkCounts()
			})
		})
	}
}

func TestRefusedResumeProvesNothing(t *testing.T) {
	// An engine begins a prompt that may not be repeated and dies; the attempt to
	// pick the stream up is refused. If the refusal counted for the whole send, a
	// second engine would run the prompt again, or the caller be told that it was
	// not run.
	warm(t)
	for name, begun := range map[string]script{
		"died before the first token": breaks(),
		"died in the middle":          breaks("one "),
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"e1": begun, "e2": begun}, func(t *testing.T, b *bench) {
				c := completion("p", false)
				c.headers = map[string]string{headerNoRepeat: "true", headerKey: "k1"}
				got := b.do(c)
				started := 0
				for _, p := range b.peers {
					if calls, _ := p.counted(); calls > 0 {
						started++
					}
				}
				if started != 1 || got.verdict != "may-have-run" {
					t.Errorf("%d engines began it, the caller was told %s", started, got.verdict)
				}
				synctest.Wait()
				if len(b.plane.settled) != 0 {
					t.Errorf("the claim was settled: %v", b.plane.settled)
				}
			})
		})
	}
}

func TestClaimThatHangsPastTheDeadline(t *testing.T) {
	// The voters hang while they are asked for the right to send, and say yes
	// after the caller was told that its call was not run. Sending it then would
	// run a call that the caller has already repeated elsewhere.
	warm(t)
	inBubble(t, map[string]script{"s1": says("held")}, func(t *testing.T, b *bench) {
		release := make(chan struct{})
		b.plane.claims = func(claim.Key) control.ClaimResult {
			<-release
			return control.ClaimResult{State: control.Won}
		}
		got := b.do(call{
			path: "/v1/services/cassa/hold", body: "x",
			headers: map[string]string{headerClass: "hold", headerKey: "k1", headerDeadlineMs: "500"},
		})
		if got.verdict != "not-run" || got.took > 500*time.Millisecond+viewInterval {
			t.Errorf("got %s after %v: %s", got.verdict, got.took, got.body)
		}
		close(release)
		synctest.Wait()
		if calls := b.totalCalls(); calls != 0 {
			t.Errorf("the service saw %d calls after the final answer", calls)
		}
		if len(b.plane.settled) != 1 || b.plane.settled[0].Kind != claim.Released {
			t.Errorf("settled %v, want one release", b.plane.settled)
		}
		b.checkCounts()
	})
}

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
