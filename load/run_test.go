package load

import (
	"bufio"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func answerCorrectly(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
	answerText(ctx, c, c.correctText())
}

// Guards against counting a wrong, incomplete or missing answer as served, which would
// invalidate every figure of the load generator.
func TestOnlyCorrectAnswersCountAsServed(t *testing.T) {
	failureEvent := func(w *bufio.Writer) {
		fmt.Fprint(w, `data: {"error":{"type":"upstream","message":"m","verdict":"may-have-run","retry_after_ms":0}}`+"\n\n")
	}
	for _, test := range []struct {
		name   string
		prompt func(ctx *fasthttp.RequestCtx, f *fakeEntry, c *completionRequest)
		result Result
		reason string
	}{
		{"correct", answerCorrectly, Served, ""},
		{"text of another prompt", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			answerText(ctx, c, (&completionRequest{Prompt: "other", MaxTokens: c.MaxTokens}).correctText())
		}, Crossed, reasonWrongText},
		{"short, delivered as complete", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			answerText(ctx, c, c.correctText()[:60])
		}, Crossed, reasonWrongText},
		{"text repeated", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			answerText(ctx, c, c.correctText()+c.correctText())
		}, Crossed, reasonWrongText},
		{"events of another request", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			c.Stream = true
			answerText(ctx, c, c.correctText())
			ctx.Response.Header.Set(headerRequest, "another")
		}, Crossed, reasonWrongID},
		{"ends without the end marker", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			answerPartially(ctx, c.correctText()[:60], func(*bufio.Writer) {})
		}, Failed, reasonCutOff},
		{"fails with an error event", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			answerPartially(ctx, c.correctText()[:60], failureEvent)
		}, Failed, "upstream"},
		{"fails with an error event after a wrong text", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			answerPartially(ctx, "bolt", failureEvent)
		}, Crossed, reasonWrongPart},
		{"closes without an answer", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *completionRequest) {
			ctx.Conn().Close()
		}, Failed, reasonConnectionBroken},
		{"never answers", func(*fasthttp.RequestCtx, *fakeEntry, *completionRequest) {
			time.Sleep(30 * time.Second)
		}, Lost, reasonTimeout},
		{"stops sending within the answer", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *completionRequest) {
			answerPartially(ctx, c.correctText()[:60], func(*bufio.Writer) { time.Sleep(30 * time.Second) })
		}, Lost, reasonTimeout},
		{"refuses because of the share", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *completionRequest) {
			answerError(ctx, 429, "share", "not-run")
		}, Refused, "share"},
		{"fails", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *completionRequest) {
			answerError(ctx, 502, "upstream", "may-have-run")
		}, Failed, "upstream"},
		{"verdicts of header and body differ", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *completionRequest) {
			answerError(ctx, 429, "share", "not-run")
			ctx.Response.Header.Set(headerVerdict, "may-have-run")
		}, Failed, "share"},
		{"answers with an undocumented error", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *completionRequest) {
			ctx.SetStatusCode(502)
			ctx.SetBodyString("bad gateway")
		}, Failed, reasonMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := runAgainst(t, fleet{"a": {prompt: test.prompt}}, "counter", 5)
			got := map[Result]int{
				Served: report.All.Served, Refused: report.All.Refused, Failed: report.All.Failed,
				Lost: report.All.Lost, Crossed: report.All.Crossed,
			}
			if got[test.result] != 5 || report.All.Requests != 5 {
				t.Fatalf("%v, causes %+v", got, report.Causes)
			}
			if test.reason != "" && report.Causes[0].Reason != test.reason {
				t.Errorf("causes %+v, want %s", report.Causes, test.reason)
			}
			if bad := test.result == Lost || test.result == Crossed; report.HasViolations() != bad {
				t.Errorf("violations: %v", report.HasViolations())
			}
			if report.Tries != 5 {
				t.Errorf("%d tries of requests that must not be retried", report.Tries)
			}
		})
	}
}

// Callers have addresses of instances that are draining or dead. They must retry at
// the others, but only requests that were not run.
func TestRunRetriesUnrunRequestsAtOtherAddresses(t *testing.T) {
	draining := func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *completionRequest) {
		answerError(ctx, 503, "draining", "not-run")
	}
	for _, test := range []struct {
		name  string
		fleet fleet
	}{
		{"one drains", fleet{"a": {prompt: draining}, "b": {prompt: answerCorrectly}}},
		{"one refuses connections", fleet{"a": {prompt: answerCorrectly}, "b": {prompt: answerCorrectly, down: true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := runAgainst(t, test.fleet, "counter", 30)
			if report.All.Served != 30 || report.Tries == 30 {
				t.Errorf("%d served in %d tries, causes %+v", report.All.Served, report.Tries, report.Causes)
			}
		})
	}
}

// Guards against overlooking a call that ran twice, and a call that ran although it was
// refused as not run, which its caller would therefore repeat.
func TestRunDetectsRepeatedAndFalselyRefusedCalls(t *testing.T) {
	for _, test := range []struct {
		name           string
		call           func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string)
		served         int
		refused        int
		failed         int
		crossed        int
		doubled        int
		falselyRefused int
	}{
		{"correct", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			answerCall(ctx, key)
		}, 5, 0, 0, 0, 0, 0},
		{"runs each twice", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			f.execute(key)
			answerCall(ctx, key)
		}, 5, 0, 0, 0, 5, 0},
		{"runs it and refuses it as not run", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			answerError(ctx, 429, "limit", "not-run")
		}, 0, 5, 0, 0, 0, 5},
		{"answers another call", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			ctx.Request.SetBodyString("other")
			answerCall(ctx, key)
		}, 0, 0, 0, 5, 0, 0},
		{"runs it, closes the connection, and answers the repetition as a duplicate", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			if !f.executeOnce(key) {
				answerError(ctx, 409, "duplicate", "may-have-run")
				return
			}
			ctx.Conn().Close()
		}, 0, 0, 5, 0, 0, 0},
		{"runs it, closes the connection, and refuses the repetition", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			if !f.executeOnce(key) {
				answerError(ctx, 429, "limit", "not-run")
				return
			}
			ctx.Conn().Close()
		}, 0, 0, 5, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := runAgainst(t, fleet{"a": {call: test.call}}, "hold", 5)
			if r.All.Served != test.served || r.All.Refused != test.refused || r.All.Failed != test.failed ||
				r.All.Crossed != test.crossed || r.Doubled != test.doubled || r.FalselyRefused != test.falselyRefused {
				t.Errorf("%s, %d falsely refused; causes %+v", r.Summary(), r.FalselyRefused, r.Causes)
			}
			if r.HasViolations() != (test.crossed+test.doubled+test.falselyRefused > 0) {
				t.Errorf("violations: %v", r.HasViolations())
			}
		})
	}
}

// A caller repeats its call while the first is in flight. An instance that does not
// recognise the key runs both; one that does answers the second at once. If only one
// of the two was refused, the call does not count as refused.
func TestConcurrentDuplicateCallsHaveOneOutcome(t *testing.T) {
	for _, test := range []struct {
		name        string
		onDuplicate func(ctx *fasthttp.RequestCtx, key string)
		served      int
		doubled     int
	}{
		{"runs both", nil, 5, 5},
		{"answers the second as a duplicate", func(ctx *fasthttp.RequestCtx, _ string) { answerError(ctx, 409, "duplicate", "may-have-run") }, 5, 0},
		{"refuses the second", func(ctx *fasthttp.RequestCtx, _ string) { answerError(ctx, 429, "limit", "not-run") }, 5, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := runWith(t, fleet{"a": {call: func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
				switch {
				case test.onDuplicate == nil:
					f.execute(key)
				case !f.executeOnce(key):
					test.onDuplicate(ctx, key)
					return
				}
				answerCall(ctx, key)
			}}}, "hold", 5, func(o *Options) { o.ResendOneIn = 1 })
			if report.All.Served != test.served || report.Doubled != test.doubled || report.FalselyRefused != 0 || report.Tries != 10 {
				t.Errorf("%s, %d falsely refused, %d tries", report.Summary(), report.FalselyRefused, report.Tries)
			}
		})
	}
}

func TestRunMarksPromptsThatMustNotRepeat(t *testing.T) {
	var marked, keys atomic.Int64
	f := fleet{"a": {prompt: func(ctx *fasthttp.RequestCtx, f *fakeEntry, c *completionRequest) {
		if string(ctx.Request.Header.Peek(headerNoRepeat)) == "true" {
			marked.Add(1)
		}
		if len(ctx.Request.Header.Peek(headerKey)) > 0 {
			keys.Add(1)
		}
		answerText(ctx, c, c.correctText())
	}}}
	report := runWith(t, f, "counter", 9, func(o *Options) { o.NoRepeatOneIn = 3 })
	if report.All.Served != 9 || marked.Load() != 3 || keys.Load() != 3 {
		t.Errorf("%s, %d marked, %d keys", report.Summary(), marked.Load(), keys.Load())
	}
}

// If the execution counts of the services cannot be fetched, the result must not look
// like "0 doubled".
func TestRunFailsWhenExecutionsAreUnknown(t *testing.T) {
	f := fleet{"a": {prompt: answerCorrectly}, "b": {down: true}}
	if report := runAgainst(t, f, "counter", 3); !report.HasViolations() || report.Counted {
		t.Errorf("%+v", report)
	}
}

func TestGeneratorIsSeededAndCoversLengths(t *testing.T) {
	for _, mix := range []Mix{Aretusa(), Brazos()} {
		first, second := newGenerator(mix, 10, 7), newGenerator(mix, 10, 7)
		lengths := make([]int, 5)
		buckets := lengthBuckets(DefaultEngineMemory)
		for range 2000 {
			a, _ := first.next()
			b, _ := second.next()
			if a.After != b.After || a.Organisation != b.Organisation || a.Class.Name != b.Class.Name {
				t.Fatalf("%+v and %+v differ", a, b)
			}
			if a.isCall() {
				continue
			}
			if a.Prompt.Hash() != b.Prompt.Hash() {
				t.Fatal("prompts differ")
			}
			lengths[bucketOf(buckets, a.Prompt.Tokens)]++
		}
		for i, n := range lengths {
			if n == 0 {
				t.Errorf("%s: no prompt of %s", mix.Name, buckets[i].name)
			}
		}
	}
}
