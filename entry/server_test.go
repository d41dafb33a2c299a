package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// warmUp runs one exchange outside any synctest bubble: fasthttp starts a global date
// goroutine with the first response, which must not belong to a bubble.
func warmUp(t *testing.T) {
	t.Helper()
	var response fasthttp.Response
	_ = response.Write(bufio.NewWriter(io.Discard))
	b := newTestBed(t, map[string]script{"e1": answers("ok")})
	b.do(completion("hello", false))
	if err := b.server.close(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.closeUpstreams()
}

// workerPoolLifetime is longer than the worker pool of fasthttp takes to stop by
// itself.
const workerPoolLifetime = 15 * time.Second

// inBubble runs the test in a synctest bubble, with virtual time.
func inBubble(t *testing.T, upstreams map[string]script, test func(t *testing.T, b *testBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(t, upstreams)
		test(t, b)
		b.close()
		<-time.NewTimer(workerPoolLifetime).C
	})
}

func TestFinalAnswersAreCompleteAndVerdictsTrue(t *testing.T) {
	// Engines and services fail in many ways. The caller must get the complete answer, or
	// a failure whose verdict is true: a caller who gets "not-run" repeats the call, and
	// if the call did run, it runs twice.
	warmUp(t)
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
			map[string]script{"e1": breaksAfter(), "e2": breaksAfter(), "e3": answers("ok")}, completion("p", false), 200, "ran", `"ok"`, -1,
		},
		"engine dies in the middle, rerun continues": {
			map[string]script{"e1": breaksAfter("one "), "e2": breaksAfter("one ")}, completion("p", true), 200, "ran", `"one "`, -1,
		},
		"no engine":            {map[string]script{"s1": serviceAnswers("x")}, completion("p", false), 503, "not-run", `"no-upstream"`, 0},
		"all engines refuse":   {map[string]script{"e1": refuses}, completion("p", false), 0, "not-run", "", -1},
		"engine never answers": {map[string]script{"e1": hangs}, completion("p", false), 0, "may-have-run", "", -1},
		"service answers":      {map[string]script{"s1": serviceAnswers("held")}, hold, 200, "ran", "held", 1},
		"service closes after reading a call that may not be repeated": {
			map[string]script{"s1": closesAfterReading}, hold, 502, "may-have-run", `"upstream"`, 1,
		},
		"service hangs": {map[string]script{"s1": hangs}, hold, 0, "may-have-run", "", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, test.upstreams, func(t *testing.T, b *testBed) {
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
					t.Errorf("upstreams got %d calls, want %d", calls, test.calls)
				}
				b.checkCounts()
			})
		})
	}
}

func TestRefusalsBeforeAdmission(t *testing.T) {
	warmUp(t)
	big := completion(strings.Repeat("x", 9<<20), false)
	tests := map[string]struct {
		call   call
		change func(b *testBed)
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
		"invalid no-repeat": {call{path: pathCompletions, headers: map[string]string{headerNoRepeat: "yes"}, body: "{}"}, nil, 400, "bad-request"},
		"key too long":      {call{path: pathCompletions, headers: map[string]string{headerKey: strings.Repeat("k", 300)}, body: "{}"}, nil, 400, "bad-request"},
		"body too large":    {big, nil, 413, "body-too-large"},
		"unknown path":      {call{path: "/v2/x", body: "{}"}, nil, 404, "not-found"},
		"lease has expired": {completion("p", false), func(b *testBed) { b.plane.view.LeaseUntil = time.Now().Add(-1) }, 503, "no-lease"},
		"no settings yet":   {completion("p", false), func(b *testBed) { b.plane.view.Tree = nil }, 503, "no-lease"},
		"instance refusing": {completion("p", false), func(b *testBed) { b.server.draining.set(phaseRefusing) }, 503, "draining"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"e1": answers("ok")}, func(t *testing.T, b *testBed) {
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
					t.Errorf("upstreams got %d calls", calls)
				}
				if got.took > 0 {
					t.Errorf("the refusal took %v", got.took)
				}
				b.checkCounts()
			})
		})
	}
}
