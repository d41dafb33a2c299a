package standin_test

import (
	"context"
	"testing"
	"time"

	"celeryport/standin/answer"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// A prompt needs more than twice the memory of an engine and is spread over three. It
// may run only while every part holds its memory; if the engine of one part crashes,
// the answer must end with an error.
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
