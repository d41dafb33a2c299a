package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/request"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/verdict"
)

func fuzzTree(f *testing.F) *settings.Tree {
	f.Helper()
	tree, err := settings.ParseTree("tree.ini", []byte(testTree+settings.HashKey(testKey)+testTreeRest))
	if err != nil {
		f.Fatal(err)
	}
	return tree
}

// FuzzCompletionBody checks that no body causes a panic, and that accepted bodies are
// within the limits that the rest of the code relies on.
func FuzzCompletionBody(f *testing.F) {
	tree := fuzzTree(f)
	for _, seed := range []string{
		`{"model":"sarto","prompt":"p","max_tokens":8,"stream":true}`,
		`{"model":"sarto","prompt":"p"}`, `{"model":"sarto","prompt":"","max_tokens":8}`,
		`{"model":"sarto","prompt":"p","max_tokens":-1}`, `{"model":"sarto","prompt":"p","max_tokens":1e99}`,
		`{"model":["sarto"],"prompt":{}}`, `[]`, `null`, `{`, "\x00\xff", `{"prompt":"\ud800"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		in := &incomingRequest{tree: tree, request: &request.Request{ID: "r", Kind: request.Prompt}}
		body, err := in.parseCompletion(raw)
		if err != nil {
			if err.Verdict != verdict.NotRun {
				t.Errorf("a refused body has verdict %v", err.Verdict)
			}
			return
		}
		r := in.request
		if body.Prompt == "" || r.PromptTokens < 1 || r.OutputTokens < 1 || r.OutputTokens > maxOutputTokens || r.Target != "sarto" {
			t.Errorf("accepted %q as %+v", raw, r)
		}
	})
}

// FuzzHeaders checks that no header of a caller causes a panic, extends a deadline, or
// makes a request repeatable that may not be repeated.
func FuzzHeaders(f *testing.F) {
	tree := fuzzTree(f)
	f.Add("counter", "1000", "true", "k")
	f.Add("hold", "", "false", "")
	f.Add("counter", "99999999999999999999", "yes", "0190163d-8694-739b-aea5-966c26f8ad91")
	f.Add("../x", "-5", "1", "\x00")
	f.Fuzz(func(t *testing.T, class, deadline, noRepeat, key string) {
		ctx := &fasthttp.RequestCtx{}
		for name, value := range map[string]string{
			headerClass: class, headerDeadlineMs: deadline, headerNoRepeat: noRepeat, headerKey: key,
		} {
			ctx.Request.Header.Set(name, value)
		}
		now := time.Unix(1_700_000_000, 0)
		in := &incomingRequest{tree: tree, request: &request.Request{Organisation: "bottega", Arrival: now, Deadline: now}}
		if err := in.applyClass(ctx); err != nil {
			if err.Verdict != verdict.NotRun {
				t.Errorf("refused with verdict %v", err.Verdict)
			}
			return
		}
		if limit := now.Add(in.resolved.Deadline); in.request.Deadline.After(limit) || !in.request.Deadline.After(now) {
			t.Errorf("deadline %v after arrival", in.request.Deadline.Sub(now))
		}
		if in.resolved.NoRepeat && !in.request.NoRepeat {
			t.Error("a class that may not be repeated was overridden")
		}
		if len(in.request.Key) > maxKeyBytes {
			t.Errorf("a key of %d bytes", len(in.request.Key))
		}
	})
}

// FuzzAnnouncement checks that no announcement causes a panic or registers an upstream
// that routing can't use.
func FuzzAnnouncement(f *testing.F) {
	good := upstream.Announcement{
		Name: "e1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:1", Targets: []string{"sarto"}, MemoryTokens: 1,
		CacheEvents: []upstream.CacheEvent{{Sequence: 1, PrefixHash: 2, Tokens: 3}},
	}
	seed, err := json.Marshal(good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"name":"e1","incarnation":18446744073709551615,"sequence":1,"address":"x","targets":["m"],"memory_tokens":-1}`))
	f.Add([]byte(`{"name":"s","incarnation":1,"sequence":1,"address":"x","kind":1,"targets":["m"],"load":{"prefill_rate":-1}}`))
	f.Add([]byte(`{"load":{"age":-9223372036854775808}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, failed := parseAnnouncement(raw)
		if failed != nil {
			return
		}
		registry := upstream.NewRegistry(time.Second)
		now := time.Unix(1_700_000_000, 0)
		registry.Apply(now, *a)
		u := registry.Snapshot(now).Upstreams[0]
		if u.Announcement.Kind == upstream.Engine && u.Announcement.MemoryTokens <= 0 {
			t.Error("an engine without memory")
		}
		if u.LoadAt.After(now) {
			t.Errorf("a load report from the future: %v", u.LoadAt)
		}
	})
}
