package load

import (
	"bufio"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func rightPrompt(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) { answerText(ctx, c, c.right()) }

// Each way in which an instance may cheat its callers is shown by the tool. If
// one of them passed as served, every figure made with the tool would be a lie.
func TestRunJudgesAnswersToPrompts(t *testing.T) {
	failureEvent := func(w *bufio.Writer) {
		fmt.Fprint(w, `data: {"error":{"type":"upstream","message":"m","verdict":"may-have-run","retry_after_ms":0}}`+"\n\n")
	}
	for _, test := range []struct {
		name   string
		prompt func(ctx *fasthttp.RequestCtx, f *fakeEntry, c *asked)
		result Result
		reason string
	}{
		{"right", rightPrompt, Served, ""},
		{"another's text", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			answerText(ctx, c, (&asked{Prompt: "other", MaxTokens: c.MaxTokens}).right())
		}, Crossed, reasonWrongText},
		{"short, shown as whole", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			answerText(ctx, c, c.right()[:60])
		}, Crossed, reasonWrongText},
		{"twice", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			answerText(ctx, c, c.right()+c.right())
		}, Crossed, reasonWrongText},
		{"events of another request", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			c.Stream = true
			answerText(ctx, c, c.right())
			ctx.Response.Header.Set(headerRequest, "another")
		}, Crossed, reasonWrongID},
		{"ends without a mark", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			answerPart(ctx, c.right()[:60], func(*bufio.Writer) {})
		}, Failed, reasonCutOff},
		{"fails with an event", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			answerPart(ctx, c.right()[:60], failureEvent)
		}, Failed, "upstream"},
		{"fails with an event after another's text", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			answerPart(ctx, "bolt", failureEvent)
		}, Crossed, reasonWrongPart},
		{"closes without an answer", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *asked) {
			ctx.Conn().Close()
		}, Failed, reasonBroken},
		{"never answers", func(*fasthttp.RequestCtx, *fakeEntry, *asked) {
			time.Sleep(30 * time.Second)
		}, Lost, reasonSilent},
		{"goes silent within the answer", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, c *asked) {
			answerPart(ctx, c.right()[:60], func(*bufio.Writer) { time.Sleep(30 * time.Second) })
		}, Lost, reasonSilent},
		{"refuses for its share", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *asked) {
			answerError(ctx, 429, "share", "not-run")
		}, Refused, "share"},
		{"fails", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *asked) {
			answerError(ctx, 502, "upstream", "may-have-run")
		}, Failed, "upstream"},
		{"tells two verdicts", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *asked) {
			answerError(ctx, 429, "share", "not-run")
			ctx.Response.Header.Set(headerVerdict, "may-have-run")
		}, Failed, "share"},
		{"answers with something else", func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *asked) {
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
			if bad := test.result == Lost || test.result == Crossed; report.Bad() != bad {
				t.Errorf("bad: %v", report.Bad())
			}
			if report.Tries != 5 {
				t.Errorf("%d tries of work that may have run or that every instance refuses", report.Tries)
			}
		})
	}
}

// Callers hold addresses of instances that drain or died. They must find the
// others without sending twice what may have run.
func TestRunFollowsAddresses(t *testing.T) {
	draining := func(ctx *fasthttp.RequestCtx, _ *fakeEntry, _ *asked) {
		answerError(ctx, 503, "draining", "not-run")
	}
	for _, test := range []struct {
		name  string
		fleet fleet
	}{
		{"one drains", fleet{"a": {prompt: draining}, "b": {prompt: rightPrompt}}},
		{"one refuses connections", fleet{"a": {prompt: rightPrompt}, "b": {prompt: rightPrompt, down: true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := runAgainst(t, test.fleet, "counter", 30)
			if report.All.Served != 30 || report.Tries == 30 {
				t.Errorf("%d served in %d tries, causes %+v", report.All.Served, report.Tries, report.Causes)
			}
		})
	}
}

// A hold that ran twice cuts a bolt twice; a hold that ran although its caller
// was told that it did not will be ordered again.
func TestRunComparesCallsWithExecutions(t *testing.T) {
	for _, test := range []struct {
		name    string
		call    func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string)
		served  int
		refused int
		failed  int
		crossed int
		doubled int
		untrue  int
	}{
		{"right", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			answerCall(ctx, key)
		}, 5, 0, 0, 0, 0, 0},
		{"runs each twice", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			f.execute(key)
			answerCall(ctx, key)
		}, 5, 0, 0, 0, 5, 0},
		{"runs it and says that it did not", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			answerError(ctx, 429, "limit", "not-run")
		}, 0, 5, 0, 0, 0, 5},
		{"answers another call", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			f.execute(key)
			ctx.Request.SetBodyString("other")
			answerCall(ctx, key)
		}, 0, 0, 0, 5, 0, 0},
		{"runs it, breaks, and knows the key when it comes again", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
			if !f.executeOnce(key) {
				answerError(ctx, 409, "duplicate", "may-have-run")
				return
			}
			ctx.Conn().Close()
		}, 0, 0, 5, 0, 0, 0},
		{"runs it, breaks, and refuses what comes again", func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
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
				r.All.Crossed != test.crossed || r.Doubled != test.doubled || r.Untrue != test.untrue {
				t.Errorf("%s, %d untrue; causes %+v", r.Summary(), r.Untrue, r.Causes)
			}
			if r.Bad() != (test.crossed+test.doubled+test.untrue > 0) {
				t.Errorf("bad: %v", r.Bad())
			}
		})
	}
}

// A caller loses patience and makes its call again while the first is under way.
// An instance that does not know the key runs both; one that does tells the
// second at once, and what only one of the two was refused is not "not run".
func TestRunMakesCallsTwiceAtOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		known   func(ctx *fasthttp.RequestCtx, key string)
		served  int
		doubled int
	}{
		{"runs both", nil, 5, 5},
		{"tells the second", func(ctx *fasthttp.RequestCtx, _ string) { answerError(ctx, 409, "duplicate", "may-have-run") }, 5, 0},
		{"refuses the second", func(ctx *fasthttp.RequestCtx, _ string) { answerError(ctx, 429, "limit", "not-run") }, 5, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := runWith(t, fleet{"a": {call: func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string) {
				switch {
				case test.known == nil:
					f.execute(key)
				case !f.executeOnce(key):
					test.known(ctx, key)
					return
				}
				answerCall(ctx, key)
			}}}, "hold", 5, func(o *Options) { o.ResendOneIn = 1 })
			if report.All.Served != test.served || report.Doubled != test.doubled || report.Untrue != 0 || report.Tries != 10 {
				t.Errorf("%s, %d untrue, %d tries", report.Summary(), report.Untrue, report.Tries)
			}
		})
	}
}

func TestRunMarksPromptsThatMustNotRepeat(t *testing.T) {
	var marked, keys atomic.Int64
	f := fleet{"a": {prompt: func(ctx *fasthttp.RequestCtx, f *fakeEntry, c *asked) {
		if string(ctx.Request.Header.Peek(headerNoRepeat)) == "true" {
			marked.Add(1)
		}
		if len(ctx.Request.Header.Peek(headerKey)) > 0 {
			keys.Add(1)
		}
		answerText(ctx, c, c.right())
	}}}
	report := runWith(t, f, "counter", 9, func(o *Options) { o.NoRepeatOneIn = 3 })
	if report.All.Served != 9 || marked.Load() != 3 || keys.Load() != 3 {
		t.Errorf("%s, %d marked, %d keys", report.Summary(), marked.Load(), keys.Load())
	}
}

// The services cannot be asked what they executed. That must not look like
// "0 doubled".
func TestRunFailsWhenExecutionsAreUnknown(t *testing.T) {
	f := fleet{"a": {prompt: rightPrompt}, "b": {down: true}}
	if report := runAgainst(t, f, "counter", 3); !report.Bad() || report.Counted {
		t.Errorf("%+v", report)
	}
}

func TestGeneratorIsSeededAndCoversLengths(t *testing.T) {
	for _, mix := range []Mix{Aretusa(), Brazos()} {
		first, second := newGenerator(mix, 10, 7), newGenerator(mix, 10, 7)
		lengths := make([]int, 5)
		buckets := bucketsFor(DefaultEngineMemory)
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
