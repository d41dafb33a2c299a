package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/request"
	"celeryport/standin"
	"celeryport/standin/answer"
	"celeryport/upstream/client"
	"celeryport/verdict"
)

// An engine restarts at the same address. Without the check of the incarnation, a
// call to the old process would run on the new one although its instance counts it
// as lost.
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

// An engine that shuts down announces that it is leaving. Answers in progress must be
// completed, and new work must be refused.
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
			t.Fatalf("the instance named in an answer received %d announcements, last %+v", count, a)
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
			t.Error("the engine does not announce that it is leaving")
		}
		if _, err := b.read(client.NewReceiver("r2"), b.call("r2", 1000, 5)); err == nil || verdict.From(err).Verdict != verdict.NotRun {
			t.Errorf("new work while leaving: %v", err)
		}
		if err := <-whole; err != nil {
			t.Errorf("the running work: %v", err)
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
		for _, a := range entry.received {
			for _, e := range a.CacheEvents {
				if e.PrefixHash == hash && e.Tokens == tokens {
					return
				}
			}
		}
		t.Error("no cache event of the prompt's prefix")
	})
}
