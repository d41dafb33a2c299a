package standin_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/standin"
	"celeryport/standin/answer"
	"celeryport/standin/enginemodel"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

const (
	engineKey   = "engine-key"
	upstreamKey = "upstream-key"
	owner       = "entry-1/7"
)

// bench is one engine and the real client that calls it.
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

// read reads one answer stream to its end and returns its text.
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

// The client must detect each fault of an engine: it must never accept a wrong answer
// as complete, nor report "not run" for a request that ran.
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

func ownerName() string { return owner }
