package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"celeryport/standin/answer"
)

// fakeEntry is an entry instance whose answers a test decides. It serves both as
// instance and as the service that counts.
type fakeEntry struct {
	address string
	prompt  func(ctx *fasthttp.RequestCtx, f *fakeEntry, c *asked) // nil: right answers
	call    func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string)
	down    bool // connections are refused

	mu     sync.Mutex
	counts answer.Counts
	hits   int
}

// asked is what a caller asked for.
type asked struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (a *asked) right() string { return answer.For(a.Prompt, a.MaxTokens) }

// fleet is a number of fake instances that know each other.
type fleet map[string]*fakeEntry

func (f fleet) dial(listeners map[string]*fasthttputil.InmemoryListener) Dialer {
	return func(_ context.Context, address string) (net.Conn, error) {
		if listeners[address] == nil || f[address].down {
			return nil, syscall.ECONNREFUSED
		}
		return listeners[address].Dial()
	}
}

func (f *fakeEntry) handle(ctx *fasthttp.RequestCtx, addresses []string) {
	switch string(ctx.Path()) {
	case pathAddresses:
		type address struct {
			Address string `json:"address"`
		}
		var list struct {
			Addresses   []address `json:"addresses"`
			KeepSeconds int       `json:"keep_seconds"`
		}
		for _, one := range addresses {
			list.Addresses = append(list.Addresses, address{one})
		}
		list.KeepSeconds = 5
		body, _ := json.Marshal(&list)
		ctx.SetBody(body)
	case pathCounts:
		f.mu.Lock()
		defer f.mu.Unlock()
		body, _ := json.Marshal(&f.counts)
		ctx.SetBody(body)
	case pathCompletions:
		var c asked
		if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
			panic(err)
		}
		f.hit()
		ctx.Response.Header.Set(headerRequest, "id")
		f.prompt(ctx, f, &c)
	default:
		f.hit()
		f.call(ctx, f, string(ctx.Request.Header.Peek(headerKey)))
	}
}

func (f *fakeEntry) hit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hits++
	return f.hits
}

func (f *fakeEntry) execute(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Keys[key]++
}

// executeOnce executes a key that was not executed before and reports whether
// it did.
func (f *fakeEntry) executeOnce(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts.Keys[key] > 0 {
		return false
	}
	f.counts.Keys[key]++
	return true
}

// runAgainst runs a few requests of one class against the instances.
func runAgainst(t *testing.T, f fleet, class string, requests int) *Report {
	t.Helper()
	return runWith(t, f, class, requests, func(*Options) {})
}

// runWith is runAgainst with changed options.
func runWith(t *testing.T, f fleet, class string, requests int, change func(*Options)) *Report {
	t.Helper()
	var report *Report
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		listeners := map[string]*fasthttputil.InmemoryListener{}
		var addresses []string
		for _, address := range []string{"a", "b"} {
			entry := f[address]
			if entry == nil {
				continue
			}
			entry.address = address
			entry.counts = answer.Counts{Keys: map[string]int{}, Requests: map[string]int{}}
			addresses = append(addresses, address)
			listeners[address] = fasthttputil.NewInmemoryListener()
			server := &fasthttp.Server{
				Handler:            func(ctx *fasthttp.RequestCtx) { entry.handle(ctx, addresses) },
				MaxRequestBodySize: 8 << 20, NoDefaultDate: true, Logger: silent{},
			}
			go server.Serve(listeners[address])
			defer listeners[address].Close()
		}
		mix, err := Aretusa().Select([]string{class})
		if err != nil {
			t.Fatal(err)
		}
		options := Options{
			Mix: mix, Keys: Keys{"bottega": "key", "atelier": "key"}, To: []string{"a"}, Rate: 10, Requests: requests,
			CountsFrom: addresses[len(addresses)-1:], Dial: f.dial(listeners),
		}
		change(&options)
		report, err = Run(context.Background(), options)
		if err != nil {
			t.Fatal(err)
		}
	})
	return report
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// writeEvent writes one server-sent event.
func writeEvent(w *bufio.Writer, text, finish, marks string) {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	fmt.Fprintf(w, `data: {"id":"c","object":"text_completion","choices":[{"text":%q,"index":0,"finish_reason":%s}]%s}`+"\n\n", text, reason, marks)
	w.Flush()
}

const rightMarks = `,"celeryport":{"verdict":"ran","request_id":"id"}`

// answerText answers with the text as if it were whole.
func answerText(ctx *fasthttp.RequestCtx, c *asked, text string) {
	ctx.Response.Header.Set(headerVerdict, "ran")
	if !c.Stream {
		ctx.SetContentType("application/json")
		fmt.Fprintf(ctx, `{"id":"c","choices":[{"text":%q,"index":0,"finish_reason":"stop"}]}`, text)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		half := len(text) / 2
		writeEvent(w, text[:half], "", "")
		writeEvent(w, text[half:], "stop", rightMarks)
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
}

// answerError answers with a refusal or a failure.
func answerError(ctx *fasthttp.RequestCtx, status int, reason, verdict string) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(headerVerdict, verdict)
	fmt.Fprintf(ctx, `{"error":{"type":%q,"message":"m","verdict":%q,"retry_after_ms":1000}}`, reason, verdict)
}

// answerPart streams a part of a text and then ends it in the way given.
func answerPart(ctx *fasthttp.RequestCtx, text string, end func(w *bufio.Writer)) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		writeEvent(w, text, "", "")
		end(w)
	})
}

// answerCall answers a service call rightly.
func answerCall(ctx *fasthttp.RequestCtx, key string) {
	body, _ := json.Marshal(&answer.Call{Key: key, Digest: answer.CallDigest(ctx.PostBody())})
	ctx.SetBody(body)
}
