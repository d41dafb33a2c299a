package standin_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/request"
	"celeryport/standin"
	"celeryport/standin/answer"
	"celeryport/standin/enginemodel"
	"celeryport/upstream"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

const (
	engineKey   = "engine-key"
	upstreamKey = "upstream-key"
	owner       = "entry-1/7"
)

// bench is one engine with the real client in front of it.
type bench struct {
	network *network
	engine  *standin.Engine
	client  *client.Client
}

func startEngine(n *network, name string, change func(*standin.EngineOptions)) *standin.Engine {
	o := standin.EngineOptions{
		Options: standin.Options{
			Name: name, Address: name, Targets: []string{"sarto"},
			Key: engineKey, UpstreamKey: upstreamKey, Dial: n.dial,
		},
		Model: enginemodel.DefaultConfig(),
	}
	if change != nil {
		change(&o)
	}
	e := standin.NewEngine(o)
	go e.Serve(n.listen(name))
	return e
}

func newBench(change func(*standin.EngineOptions)) *bench {
	n := newNetwork()
	return &bench{
		network: n,
		engine:  startEngine(n, "engine", change),
		client:  client.New(n.dial, engineKey, ownerName, client.DefaultTiming),
	}
}

func prompt(tokens int) string { return strings.Repeat("bolt", tokens) }

func (b *bench) call(id string, tokens, output int) *client.GenerateCall {
	return &client.GenerateCall{
		Address: "engine", Incarnation: b.engine.Incarnation(), Request: id, Attempt: 1,
		Remaining: time.Hour,
		Body:      wire.GenerateRequest{Model: "sarto", Prompt: prompt(tokens), MaxTokens: output},
	}
}

// read reads one stream of the answer to its end.
func (b *bench) read(r *client.Receiver, call *client.GenerateCall) (string, error) {
	r.Expect(call.Attempt, call.Offset)
	s, failed := b.client.Generate(context.Background(), call, r)
	if failed != nil {
		return "", failed
	}
	defer s.Close()
	var text strings.Builder
	for {
		part, err := s.Next()
		text.WriteString(part)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}

func TestEngineAnswersWhole(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		start := time.Now()
		text, err := b.read(client.NewReceiver("r1"), b.call("r1", 100_000, 50))
		if err != nil || answer.Check(prompt(100_000), 50, text) != nil {
			t.Fatalf("answer %q, %v", text, err)
		}
		if took := time.Since(start); took < 5*time.Second || took > 10*time.Second {
			t.Errorf("100,000 tokens took %v", took)
		}
		if held := b.engine.Holdings(); len(held.Held) != 0 {
			t.Errorf("held afterwards: %+v", held)
		}
	})
}

// What each fault of an engine looks like to the client that guards callers: a
// wrong answer must never pass as whole, and "not run" must be true.
func TestEngineFaultsAsTheClientSeesThem(t *testing.T) {
	for _, test := range []struct {
		fault   standin.Fault
		whole   bool
		verdict verdict.Verdict
	}{
		{"", true, verdict.Ran},
		{standin.FaultSlow, true, verdict.Ran},
		{standin.FaultTwice, true, verdict.Ran},
		{standin.FaultRefuse, false, verdict.NotRun},
		{standin.FaultCloseAfterRead, false, verdict.MayHaveRun},
		{standin.FaultNever, false, verdict.MayHaveRun},
		{standin.FaultCloseShort, false, verdict.MayHaveRun},
		{standin.FaultEndShort, false, verdict.MayHaveRun},
		{standin.FaultSilent, false, verdict.MayHaveRun},
		{standin.FaultCrossed, false, verdict.MayHaveRun},
		{standin.FaultCorrupt, false, verdict.MayHaveRun},
		{standin.FaultFreeze, false, verdict.MayHaveRun},
	} {
		t.Run(string(test.fault), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newBench(nil)
				defer b.engine.Close()
				if test.fault != "" {
					if err := b.engine.Faults().Set(standin.FaultSwitch{Fault: test.fault, Times: 1, DelayMs: 100}); err != nil {
						t.Fatal(err)
					}
				}
				text, err := b.read(client.NewReceiver("r1"), b.call("r1", 1000, 20))
				if whole := err == nil && answer.Check(prompt(1000), 20, text) == nil; whole != test.whole {
					t.Fatalf("whole %v: %q, %v", whole, text, err)
				}
				if err != nil && verdict.From(err).Verdict != test.verdict {
					t.Errorf("verdict %v: %v", verdict.From(err).Verdict, err)
				}
				b.engine.Faults().Clear()
				if text, err = b.read(client.NewReceiver("r2"), b.call("r2", 1000, 20)); err != nil || answer.Check(prompt(1000), 20, text) != nil {
					t.Errorf("after the fault: %q, %v", text, err)
				}
			})
		})
	}
}

// A connection goes silent or breaks while the engine answers; the entry
// instance dials again and asks for the rest. A caller would otherwise see the
// text doubled, with a hole, or would wait for a second prefill.
func TestEngineResumesByOffset(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault standin.Fault
		pause time.Duration
		gone  bool // the engine has given the stream up and must not run it again
	}{
		{"broken", standin.FaultCloseShort, 0, false},
		{"silent while new connections work", standin.FaultSilent, 0, false},
		{"after the resume window the stream is gone", standin.FaultCloseShort, time.Minute, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newBench(nil)
				defer b.engine.Close()
				b.engine.Faults().Set(standin.FaultSwitch{Fault: test.fault, Times: 1})
				r := client.NewReceiver("r1")
				call := b.call("r1", 100_000, 400)
				begun, err := b.read(r, call)
				if err == nil || r.Offset() == 0 {
					t.Fatalf("the fault did not strike: offset %d, %v", r.Offset(), err)
				}
				time.Sleep(test.pause)
				call.Resume, call.Offset = true, r.Offset()
				start := time.Now()
				rest, err := b.read(r, call)
				if test.gone {
					if verdict.From(err).Verdict != verdict.NotRun {
						t.Fatalf("a lost stream was not refused: %v", err)
					}
					return
				}
				if err != nil || answer.Check(prompt(100_000), 400, begun+rest) != nil {
					t.Fatalf("%d and %d bytes, %v", len(begun), len(rest), err)
				}
				if took := time.Since(start); took > 5*time.Second {
					t.Errorf("the resumed part took %v", took)
				}
			})
		})
	}
}

// An entry instance dies while an engine works for it. Nobody cancels, and the
// memory would be gone for good.
func TestEngineMemoryComesBackAfterItsReaderDied(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		go b.read(client.NewReceiver("r1"), b.call("r1", 300_000, 50))
		time.Sleep(time.Second)
		if len(b.engine.Holdings().Held) != 1 {
			t.Fatal("the request does not run")
		}
		b.network.cut()
		time.Sleep(4*standin.DefaultHeartbeat + standin.DefaultResumeWindow)
		if held := b.engine.Holdings().Held; len(held) != 0 {
			t.Errorf("still held: %+v", held)
		}
	})
}

func TestEngineCancels(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		ended := make(chan error, 1)
		go func() {
			_, err := b.read(client.NewReceiver("r1"), b.call("r1", 300_000, 50))
			ended <- err
		}()
		time.Sleep(time.Second)
		for _, step := range []struct {
			cancel wire.CancelRequest
			want   int
		}{
			{wire.CancelRequest{Request: "r1", Attempt: 0, Owner: owner}, 0}, // an earlier attempt, come late
			{wire.CancelRequest{Request: "r1", Attempt: 1, Owner: "entry-2/1"}, 0},
			{wire.CancelRequest{Request: "r1", Attempt: 1, Owner: owner}, 1},
			{wire.CancelRequest{Request: "r1", Attempt: 1, Owner: owner}, 0},
		} {
			got, err := b.client.Cancel(context.Background(), "engine", step.cancel)
			if err != nil || got.Cancelled != step.want {
				t.Errorf("%+v: %+v, %v", step.cancel, got, err)
			}
		}
		if err := <-ended; err == nil {
			t.Error("a cancelled answer looks whole")
		}
		if held := b.engine.Holdings().Held; len(held) != 0 {
			t.Errorf("still held: %+v", held)
		}
	})
}

// A prompt is more than twice as large as an engine's memory. It runs only while
// every part holds its memory; if one part dies, the answer must not go on as if
// nothing had happened.
func TestEngineLeadsSpan(t *testing.T) {
	for _, test := range []struct {
		name    string
		reserve []string
		kill    bool
		whole   bool
		verdict verdict.Verdict
	}{
		{"all parts reserved", []string{"engine", "second", "third"}, false, true, verdict.Ran},
		{"one part is not reserved", []string{"engine", "second"}, false, false, verdict.NotRun},
		{"one part dies", []string{"engine", "second", "third"}, true, false, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newBench(nil)
				defer b.engine.Close()
				defer startEngine(b.network, "second", nil).Close()
				third := startEngine(b.network, "third", nil)
				defer third.Close()
				for _, address := range test.reserve {
					got, err := b.client.Reserve(context.Background(), address, &wire.ReserveRequest{
						Request: "r1", Attempt: 1, Owner: owner, Tokens: 350_000, LeaseMs: 60_000,
					})
					if err != nil || !got.Granted {
						t.Fatal(got, err)
					}
				}
				if test.kill {
					time.AfterFunc(5*time.Second, third.Close)
				}
				call := b.call("r1", 1_000_000, 50)
				for _, address := range []string{"engine", "second", "third"} {
					call.Body.Span = append(call.Body.Span, wire.Span{Address: address, Tokens: 350_000})
				}
				text, err := b.read(client.NewReceiver("r1"), call)
				if whole := err == nil && answer.Check(prompt(1_000_000), 50, text) == nil; whole != test.whole {
					t.Fatalf("whole %v, %v", whole, err)
				}
				if err != nil && verdict.From(err).Verdict != test.verdict {
					t.Errorf("verdict %v: %v", verdict.From(err).Verdict, err)
				}
			})
		})
	}
}

// An engine restarts at the same address. A call that was meant for the old
// process would run on the new one while its instance counts it as lost.
func TestEngineRefusesCallsForAnotherIncarnation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		call := b.call("r1", 1000, 5)
		b.engine.Close()
		time.Sleep(time.Second)
		b.engine = startEngine(b.network, "engine", nil)
		defer b.engine.Close()
		_, err := b.read(client.NewReceiver("r1"), call)
		if err == nil || verdict.From(err).Verdict != verdict.NotRun {
			t.Errorf("%v", err)
		}
	})
}

// Engines that lose their place announce it; what they answer meanwhile must be
// whole, and new work must go elsewhere.
func TestEngineLeavesGracefully(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(func(o *standin.EngineOptions) {
			o.Announce = []string{"entry-1"}
			o.LeaveWait = 3 * time.Second
		})
		first := startInstance(t, b.network, "entry-1", upstreamKey, "entry-2")
		defer first.server.Shutdown()
		second := startInstance(t, b.network, "entry-2", upstreamKey)
		defer second.server.Shutdown()
		time.Sleep(3500 * time.Millisecond)
		if a, count := second.last(); count < 2 || a.Address != "engine" || a.Leaving || a.MemoryTokens != 400_000 {
			t.Fatalf("an instance that an answer named heard %d: %+v", count, a)
		}
		whole := make(chan error, 1)
		go func() {
			text, err := b.read(client.NewReceiver("r1"), b.call("r1", 200_000, 50))
			whole <- errors.CombineErrors(err, answer.Check(prompt(200_000), 50, text))
		}()
		time.Sleep(time.Second)
		left := make(chan error, 1)
		go func() { left <- b.engine.Shutdown(context.Background()) }()
		time.Sleep(time.Second)
		if a, _ := first.last(); !a.Leaving {
			t.Error("it does not announce that it leaves")
		}
		if _, err := b.read(client.NewReceiver("r2"), b.call("r2", 1000, 5)); err == nil || verdict.From(err).Verdict != verdict.NotRun {
			t.Errorf("new work while leaving: %v", err)
		}
		if err := <-whole; err != nil {
			t.Errorf("the work under way: %v", err)
		}
		if err := <-left; err != nil {
			t.Error(err)
		}
	})
}

func TestEngineReportsLoadAndCacheLate(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(func(o *standin.EngineOptions) { o.Announce = []string{"entry-1"} })
		defer b.engine.Close()
		entry := startInstance(t, b.network, "entry-1", upstreamKey)
		defer entry.server.Shutdown()
		go b.read(client.NewReceiver("r1"), b.call("r1", 200_000, 50))
		time.Sleep(4100 * time.Millisecond)
		if a, _ := entry.last(); a.Load.QueuedPrefill == 0 || a.Load.Age < 500*time.Millisecond {
			t.Errorf("load %+v", a.Load)
		}
		time.Sleep(16 * time.Second)
		hash, tokens := request.Prefix(prompt(200_000))
		entry.mu.Lock()
		defer entry.mu.Unlock()
		for _, a := range entry.heard {
			for _, e := range a.CacheEvents {
				if e.PrefixHash == hash && e.Tokens == tokens {
					return
				}
			}
		}
		t.Error("no cache event of the prompt's prefix")
	})
}

// Two issuers of orders live for a moment, or an order is sent again after its
// answer was lost. Without the fencing number the older issuer would undo what
// the newer one ordered.
func TestEngineFencesOrders(t *testing.T) {
	newer := &wire.Order{ID: "b", Term: 3, Index: 9, Kind: wire.OrderVersion, Value: "2"}
	older := &wire.Order{ID: "a", Term: 3, Index: 8, Kind: wire.OrderVersion, Value: "1"}
	for _, test := range []struct {
		fencing  upstream.Fencing
		accepted bool
		version  string
		executed int
	}{
		{upstream.FencingChecked, false, "2", 1},
		{upstream.FencingIgnored, true, "1", 3},
	} {
		inBubble(t, func(t *testing.T) {
			b := newBench(func(o *standin.EngineOptions) { o.Fencing = test.fencing })
			defer b.engine.Close()
			b.order(t, newer)
			b.order(t, newer)
			got := b.order(t, older)
			if got.Accepted != test.accepted || got.State.Version != test.version || len(got.State.Orders) != test.executed {
				t.Errorf("fencing %v: %+v", test.fencing, got)
			}
		})
	}
}

func ownerName() string { return owner }
