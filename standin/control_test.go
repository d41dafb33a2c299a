package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"celeryport/request"
	"celeryport/standin"
	"celeryport/upstream/client"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// A prefix is transferred to another engine under a lease. Without the lease, the
// memory of the export would be lost for good if its owner crashed before the
// transfer was complete.
func TestEngineExportsAndImportsKV(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		second := startEngine(b.network, "second", nil)
		defer second.Close()
		if _, err := b.read(client.NewReceiver("r1"), b.call("r1", 50_000, 5)); err != nil {
			t.Fatal(err)
		}
		hash, tokens := request.Prefix(prompt(50_000))
		export := &wire.KVExportRequest{Request: "x", Attempt: 1, Owner: owner, PrefixHash: hash, LeaseMs: 5000}
		var exported wire.KVExportResponse
		b.network.post(t, "second", wire.PathKVExport, export, &exported)
		if exported.Granted {
			t.Error("an engine exported a prefix that it has not cached")
		}
		b.network.post(t, "engine", wire.PathKVExport, export, &exported)
		if held := b.engine.Holdings().Held; !exported.Granted || exported.Tokens != tokens || len(held) != 1 || held[0].Kind != "export" {
			t.Fatalf("%+v, held %+v", exported, held)
		}
		var imported wire.KVImportResponse
		b.network.post(t, "second", wire.PathKVImport, &wire.KVImportRequest{PrefixHash: hash, Tokens: exported.Tokens}, &imported)
		b.network.post(t, "second", wire.PathKVExport, export, &exported)
		if !imported.Imported || !exported.Granted {
			t.Errorf("%+v, then %+v", imported, exported)
		}
		time.Sleep(5 * time.Second)
		if held := b.engine.Holdings().Held; len(held) != 0 {
			t.Errorf("after the lease: %+v", held)
		}
	})
}

// Two instances reserve memory at the same time; one crashes and one renews late.
// A reservation that is not renewed must expire, and one that is renewed must stay.
func TestEngineReservationsAreLeased(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		step := func(after time.Duration, id, by string, tokens int, granted bool, free int) {
			t.Helper()
			time.Sleep(after)
			c := client.New(b.network.dial, engineKey, func() string { return by }, client.DefaultTiming)
			got, err := c.Reserve(context.Background(), "engine", &wire.ReserveRequest{
				Request: id, Attempt: 1, Owner: by, Tokens: tokens, LeaseMs: 3000,
			})
			if err != nil || got.Granted != granted || got.Free != free {
				t.Errorf("%s %s %d: %+v, %v; want %v, %d free", id, by, tokens, got, err, granted, free)
			}
		}
		step(0, "a", "one/1", 250_000, true, 150_000)
		step(0, "b", "two/1", 250_000, false, 150_000)
		step(2*time.Second, "a", "one/1", 250_000, true, 150_000) // renewed
		step(2*time.Second, "b", "two/1", 250_000, false, 150_000)
		step(0, "a", "two/1", 0, false, 150_000)                  // not its owner
		step(2*time.Second, "b", "two/1", 250_000, true, 150_000) // the first reservation expired
		step(0, "b", "two/1", 0, true, 400_000)
	})
}

// An instance crashes. Another instance takes over one of its requests, and then all
// remaining work of the crashed instance is cancelled. The request that was taken
// over must continue.
func TestEngineCancelOfOwnerKeepsWorkTakenOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		r := client.NewReceiver("r1")
		go b.read(client.NewReceiver("r1"), b.call("r1", 200_000, 20))
		go b.read(client.NewReceiver("r2"), b.call("r2", 100_000, 20))
		time.Sleep(time.Second)
		b.network.cut()
		b.client = client.New(b.network.dial, engineKey, func() string { return "entry-2/1" }, client.DefaultTiming)
		call := b.call("r1", 200_000, 20)
		call.Resume = true
		ended := make(chan error, 1)
		go func() {
			_, err := b.read(r, call)
			ended <- err
		}()
		time.Sleep(time.Second)
		swept, err := b.client.Cancel(context.Background(), "engine", wire.CancelRequest{Owner: owner})
		if err != nil || swept.Cancelled != 1 {
			t.Errorf("%+v, %v", swept, err)
		}
		if held := b.engine.Holdings().Held; len(held) != 1 || held[0].Owner != "entry-2/1" {
			t.Errorf("held %+v", held)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// lockedBuffer is an in-memory journal.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// endings returns the ending of each request according to the journal.
func (b *lockedBuffer) endings(t *testing.T) map[string]standin.Ending {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	ended := map[string]standin.Ending{}
	for line := range bytes.Lines(b.Bytes()) {
		var entry standin.Entry
		if err := json.Unmarshal(line, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Ended == standin.Begun {
			continue
		}
		if ended[entry.Request] != "" {
			t.Errorf("%s ended twice", entry.Request)
		}
		ended[entry.Request] = entry.Ended
	}
	return ended
}

// Reports are verified by comparison with the journal. A missing entry, or two entries
// for one execution, would make a correct report look wrong.
func TestEngineJournalsEachRequestOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		journal := &lockedBuffer{}
		b := newBench(func(o *standin.EngineOptions) { o.Journal = journal })
		defer b.engine.Close()
		read := func(id string, tokens int, remaining time.Duration) {
			call := b.call(id, tokens, 20)
			call.Remaining = remaining
			b.read(client.NewReceiver(id), call)
		}
		read("whole", 1000, time.Minute)
		read("late", 200_000, 2*time.Second)
		b.engine.Faults().Set(standin.FaultSwitch{Fault: standin.FaultRefuse, Times: 1})
		read("refused", 1000, time.Minute)
		read("too large", 500_000, time.Minute)
		b.engine.Faults().Set(standin.FaultSwitch{Fault: standin.FaultCloseShort, Times: 1})
		read("unread", 1000, time.Minute)
		go read("cancelled", 200_000, time.Minute)
		time.Sleep(5 * time.Second)
		b.client.Cancel(context.Background(), "engine", wire.CancelRequest{Request: "cancelled", Attempt: 1, Owner: owner})
		go read("stopped", 200_000, time.Minute)
		time.Sleep(time.Second)
		b.engine.Close()
		want := map[string]standin.Ending{
			"whole": standin.EndedWhole, "late": standin.EndedDeadline, "refused": standin.EndedRefused,
			"too large": standin.EndedRefused, "unread": standin.EndedUnread,
			"cancelled": standin.EndedCancelled, "stopped": standin.EndedStopped,
		}
		got := journal.endings(t)
		for id, ending := range want {
			if got[id] != ending {
				t.Errorf("%s: %q, want %q", id, got[id], ending)
			}
		}
	})
}

// The deadline of a request passes while the engine works on it and its instance does
// not cancel it. Work past its deadline must not hold memory.
func TestEngineDropsWorkAtItsDeadline(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		call := b.call("r1", 300_000, 50)
		call.Remaining = 3 * time.Second
		start := time.Now()
		_, err := b.read(client.NewReceiver("r1"), call)
		if took := time.Since(start); err == nil || verdict.From(err).Verdict != verdict.MayHaveRun || took > 4*time.Second {
			t.Errorf("after %v: %v", took, err)
		}
		if held := b.engine.Holdings().Held; len(held) != 0 {
			t.Errorf("still held: %+v", held)
		}
	})
}

// Faults can be enabled over HTTP with the key of the stand-in; an unknown fault is refused.
func TestFaultsAreSwitchedOverHTTP(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(nil)
		defer b.engine.Close()
		var list []standin.FaultSwitch
		b.network.post(t, "engine", "/faults", &standin.FaultSwitch{Fault: standin.FaultRefuse, Times: 2}, &list)
		if len(list) != 1 || list[0].Times != 2 {
			t.Errorf("%+v", list)
		}
		if _, err := b.read(client.NewReceiver("r1"), b.call("r1", 1000, 5)); verdict.From(err) == nil || verdict.From(err).Verdict != verdict.NotRun {
			t.Errorf("%v", err)
		}
		var refused struct{ Error string }
		if status := b.network.post(t, "engine", "/faults", &standin.FaultSwitch{Fault: "melt"}, &refused); status != 400 {
			t.Errorf("status %d for an unknown fault", status)
		}
	})
}
