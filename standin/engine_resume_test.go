package standin_test

import (
	"context"
	"testing"
	"time"

	"celeryport/standin"
	"celeryport/standin/answer"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// A connection breaks or stops delivering data during an answer; the instance dials
// again and asks for the rest. If the resume went wrong, the caller would get
// repeated or missing text, or would wait for a second prefill.
func TestEngineResumesByOffset(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault standin.Fault
		pause time.Duration
		gone  bool // the engine has ended the stream and must not run the request again
	}{
		{"broken", standin.FaultCloseShort, 0, false},
		{"silent, but new connections work", standin.FaultSilent, 0, false},
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
					t.Fatalf("the fault had no effect: offset %d, %v", r.Offset(), err)
				}
				time.Sleep(test.pause)
				call.Resume, call.Offset = true, r.Offset()
				start := time.Now()
				rest, err := b.read(r, call)
				if test.gone {
					if verdict.From(err).Verdict != verdict.NotRun {
						t.Fatalf("the resume of an ended stream was not refused: %v", err)
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

// An instance crashes while an engine works for it and therefore never cancels the
// work. Without the resume window, its memory would be lost for good.
func TestEngineMemoryComesBackAfterItsReaderDied(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		go b.read(client.NewReceiver("r1"), b.call("r1", 300_000, 50))
		time.Sleep(time.Second)
		if len(b.engine.Holdings().Held) != 1 {
			t.Fatal("the request is not running")
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
			{wire.CancelRequest{Request: "r1", Attempt: 0, Owner: owner}, 0}, // delayed cancel of an earlier attempt
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
			t.Error("a cancelled answer was accepted as complete")
		}
		if held := b.engine.Holdings().Held; len(held) != 0 {
			t.Errorf("still held: %+v", held)
		}
	})
}

// The connection breaks while the final frame is in transit: the engine considers the
// answer delivered, but the instance does not have it. If the engine had already
// discarded the answer, the caller would lose a complete answer, or the prompt would
// run a second time.
func TestEngineKeepsDeliveredAnswers(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		kept  bool
	}{
		{"at once", 0, true},
		{"after the resume window", 2 * standin.DefaultResumeWindow, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				journal := &lockedBuffer{}
				b := newBench(func(o *standin.EngineOptions) { o.Journal = journal })
				defer b.engine.Close()
				call := b.call("r1", 100_000, 20)
				if _, err := b.read(client.NewReceiver("r1"), call); err != nil {
					t.Fatal(err)
				}
				if held := b.engine.Holdings().Held; len(held) != 0 {
					t.Errorf("held after the end: %+v", held)
				}
				time.Sleep(test.after)
				start := time.Now()
				call.Resume = true
				text, err := b.read(client.NewReceiver("r1"), call)
				if kept := err == nil && answer.Check(prompt(100_000), 20, text) == nil; kept != test.kept {
					t.Errorf("kept %v: %q, %v", kept, text, err)
				}
				if took := time.Since(start); took > time.Second {
					t.Errorf("the request ran again for %v", took)
				}
				time.Sleep(2 * standin.DefaultResumeWindow)
				if test.kept && journal.endings(t)["r1"] != standin.EndedWhole {
					t.Error("the journal does not record a complete answer")
				}
			})
		})
	}
}
