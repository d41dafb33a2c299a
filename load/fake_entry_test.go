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

// fakeEntry is an entry instance whose answers are defined by a test. It also acts as
// the service that reports execution counts.
type fakeEntry struct {
	address string
	prompt  func(ctx *fasthttp.RequestCtx, f *fakeEntry, c *completionRequest) // answers a prompt
	call    func(ctx *fasthttp.RequestCtx, f *fakeEntry, key string)
	down    bool // connections are refused

	mu     sync.Mutex
	counts answer.Counts
	hits   int
}

// completionRequest is the request body of a completion.
type completionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (a *completionRequest) correctText() string { return answer.For(a.Prompt, a.MaxTokens) }

// fleet holds fake instances by address; each publishes the addresses of all.
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
		var c completionRequest
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

// executeOnce executes a key unless it was executed before, and reports whether it
// did.
func (f *fakeEntry) executeOnce(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts.Keys[key] > 0 {
		return false
	}
	f.counts.Keys[key]++
	return true
}

// runAgainst sends a number of requests of one class to the instances.
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
				MaxRequestBodySize: 8 << 20, NoDefaultDate: true, Logger: discardLogger{},
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

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// writeEvent writes one server-sent event.
func writeEvent(w *bufio.Writer, text, finish, metadata string) {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	fmt.Fprintf(w, `data: {"id":"c","object":"text_completion","choices":[{"text":%q,"index":0,"finish_reason":%s}]%s}`+"\n\n", text, reason, metadata)
	w.Flush()
}

const correctMetadata = `,"celeryport":{"verdict":"ran","request_id":"id"}`

// answerText answers with the text as the complete answer.
func answerText(ctx *fasthttp.RequestCtx, c *completionRequest, text string) {
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
		writeEvent(w, text[half:], "stop", correctMetadata)
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
}

// answerError answers with a refusal or a failure.
func answerError(ctx *fasthttp.RequestCtx, status int, reason, verdict string) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(headerVerdict, verdict)
	fmt.Fprintf(ctx, `{"error":{"type":%q,"message":"m","verdict":%q,"retry_after_ms":1000}}`, reason, verdict)
}

// answerPartially streams a part of a text and then calls end.
func answerPartially(ctx *fasthttp.RequestCtx, text string, end func(w *bufio.Writer)) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		writeEvent(w, text, "", "")
		end(w)
	})
}

// answerCall answers a service call correctly.
func answerCall(ctx *fasthttp.RequestCtx, key string) {
	body, _ := json.Marshal(&answer.Call{Key: key, Digest: answer.CallDigest(ctx.PostBody())})
	ctx.SetBody(body)
}
