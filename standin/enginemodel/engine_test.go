package enginemodel

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestRefusalsAreTyped(t *testing.T) {
	e := New(smallConfig(), epoch)
	job := Job{ID: "a", PromptTokens: 1000, OutputTokens: 10}
	if err := e.Submit(epoch, job); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		job  Job
		want error
	}{
		{job, ErrDuplicate},
		{Job{ID: "b", PromptTokens: 60_000, OutputTokens: 1}, ErrTooLarge},
		{Job{ID: "b", PromptTokens: 1, OutputTokens: 5, Offset: 5}, ErrInvalid},
		{Job{PromptTokens: 1, OutputTokens: 5}, ErrInvalid},
	} {
		if err := e.Submit(epoch, test.job); !errors.Is(err, test.want) {
			t.Errorf("%+v: %v, want %v", test.job, err, test.want)
		}
	}
}

// finishTimes runs the engine until nothing changes any more, and returns when each job emitted its
// first token and when it finished.
func finishTimes(e *Engine) (first, last map[string]time.Duration) {
	first, last = map[string]time.Duration{}, map[string]time.Duration{}
	for next := e.Next(); !next.IsZero(); next = e.Next() {
		for _, event := range e.Advance(next) {
			times := first
			if event.Kind == Finished {
				times = last
			}
			if _, seen := times[event.ID]; !seen {
				times[event.ID] = event.At.Sub(epoch)
			}
		}
	}
	return first, last
}

// A long prompt prefills for many iterations. If an urgent prompt that is submitted
// later had to wait for the end of the prefill, its caller would wait half a minute
// for the first token.
func TestUrgentPromptInterruptsLongPrefill(t *testing.T) {
	e := New(DefaultConfig(), epoch)
	_ = e.Submit(epoch, Job{ID: "ledger", PromptTokens: 300_000, OutputTokens: 10})
	asked := epoch.Add(time.Second)
	_ = e.Submit(asked, Job{ID: "counter", Priority: 1, PromptTokens: 1000, OutputTokens: 10})
	first, _ := finishTimes(e)
	if wait := first["counter"] - time.Second; wait > 300*time.Millisecond {
		t.Errorf("the urgent prompt waited %v", wait)
	}
	if first["ledger"] < 15*time.Second {
		t.Errorf("300,000 tokens were prefilled in %v", first["ledger"])
	}
}

// Small prompts fit into the free memory while a large one still waits for more. If
// they could overtake it, the large prompt would not start as long as small ones keep
// arriving.
func TestLargeHeadIsNotStarved(t *testing.T) {
	e := New(smallConfig(), epoch)
	_ = e.Submit(epoch, Job{ID: "running", PromptTokens: 30_000, OutputTokens: 50})
	_ = e.Submit(epoch, Job{ID: "large", PromptTokens: 50_000, OutputTokens: 50})
	for i := range 20 {
		_ = e.Submit(epoch, Job{ID: fmt.Sprint("small", i), PromptTokens: 5000, OutputTokens: 50})
	}
	first, _ := finishTimes(e)
	for id, at := range first {
		if id != "running" && id != "large" && at < first["large"] {
			t.Errorf("%s started before the large prompt", id)
		}
	}
}

func TestPrefixCacheShortensPrefillAndIsEvictedOnDemand(t *testing.T) {
	e := New(smallConfig(), epoch)
	job := Job{ID: "a", PromptTokens: 9000, OutputTokens: 1, PrefixHash: 7, PrefixTokens: 8000}
	_ = e.Submit(epoch, job)
	cold, _ := finishTimes(e)
	asked := epoch.Add(10 * time.Second)
	job.ID = "b"
	_ = e.Submit(asked, job)
	warm, _ := finishTimes(e)
	if took := warm["b"] - 10*time.Second; took*3 > cold["a"] {
		t.Errorf("warm prompt took %v, cold one %v", took, cold["a"])
	}
	if granted, _ := e.Reserve(asked, "span", "o", 60_000, time.Second); !granted || e.cache.used != 0 {
		t.Errorf("granted %v while the cache holds %d", granted, e.cache.used)
	}
	events := e.CacheEvents(asked.Add(time.Minute))
	if len(events) != 2 || !events[1].Evicted || events[1].Sequence != 2 {
		t.Errorf("cache events %+v", events)
	}
}

// An instance that reserved memory for a span crashes and never releases it. If the
// lease did not expire, the waiting prompt and all behind it would hang.
func TestReservationOfCrashedOwnerExpires(t *testing.T) {
	e := New(smallConfig(), epoch)
	e.Reserve(epoch, "span", "dead", 50_000, 5*time.Second)
	_ = e.Submit(epoch, Job{ID: "a", PromptTokens: 20_000, OutputTokens: 1})
	first, _ := finishTimes(e)
	if first["a"] < 5*time.Second || first["a"] > 7*time.Second {
		t.Errorf("first token after %v", first["a"])
	}
}

// The same crash while another stream decodes for a long time: the engine skips over
// the tokens of that stream and must still process the expiry of the lease in between.
func TestReservationExpiresDuringLongDecode(t *testing.T) {
	e := New(smallConfig(), epoch)
	_ = e.Submit(epoch, Job{ID: "long", PromptTokens: 100, OutputTokens: 5000})
	e.Reserve(epoch, "span", "dead", 50_000, 5*time.Second)
	_ = e.Submit(epoch, Job{ID: "a", PromptTokens: 20_000, OutputTokens: 1})
	first, _ := finishTimes(e)
	if first["a"] < 5*time.Second || first["a"] > 7*time.Second {
		t.Errorf("first token after %v", first["a"])
	}
}

// The memory for a spread prompt is reserved on several engines, and its leading part
// queues behind a prompt that does not fit beside the reservation. If the leading part
// had to wait for that prompt, the two would block each other, and all prompts behind
// them, as long as the owner renews its lease.
func TestReservedTaskDoesNotWaitBehindOneThatNeedsItsMemory(t *testing.T) {
	e := New(smallConfig(), epoch)
	e.Reserve(epoch, "span", "o", 30_000, time.Hour)
	_ = e.Submit(epoch, Job{ID: "ledger", PromptTokens: 50_000, OutputTokens: 1})
	_ = e.Submit(epoch, Job{ID: "span", Owner: "o", PromptTokens: 60_000, OutputTokens: 1, MemoryTokens: 30_000, SpanSpeedup: 2})
	first, _ := finishTimes(e)
	if first["span"] == 0 || first["span"] > 5*time.Second || first["ledger"] <= first["span"] || first["ledger"] > 10*time.Second {
		t.Errorf("first tokens after %v", first)
	}
}

func TestReservationBecomesMemoryOfItsLead(t *testing.T) {
	e := New(smallConfig(), epoch)
	e.Reserve(epoch, "span", "o", 50_000, time.Minute)
	_ = e.Submit(epoch, Job{ID: "span", Owner: "o", PromptTokens: 100_000, OutputTokens: 1, MemoryTokens: 50_000, SpanSpeedup: 2})
	first, _ := finishTimes(e)
	if first["span"] == 0 || first["span"] > 8*time.Second {
		t.Errorf("100,000 tokens on two engines took %v", first["span"])
	}
	if held := e.Holdings(epoch.Add(time.Minute)); len(held) != 0 {
		t.Errorf("held afterwards: %v", held)
	}
}

func TestLoadReportLags(t *testing.T) {
	e := New(smallConfig(), epoch)
	e.Load(epoch)
	_ = e.Submit(epoch, Job{ID: "a", PromptTokens: 30_000, OutputTokens: 1})
	if load := e.Load(epoch.Add(100 * time.Millisecond)); load.QueuedPrefill != 0 {
		t.Errorf("report without lag: %+v", load)
	}
	load := e.Load(epoch.Add(500 * time.Millisecond))
	if load.QueuedPrefill == 0 || load.LongPrefill == 0 || load.Age < 300*time.Millisecond {
		t.Errorf("late report: %+v", load)
	}
}

func BenchmarkBusyEngine(b *testing.B) {
	config := DefaultConfig()
	config.FirstAndLastOnly = true
	e := New(config, epoch)
	ids := make([]string, 512)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	now := epoch
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(150 * time.Millisecond)
		e.Advance(now)
		_ = e.Submit(now, Job{ID: ids[i%len(ids)], Priority: i & 1, PromptTokens: 1000 + i%3000, OutputTokens: 100, PrefixHash: uint64(i%5 + 1), PrefixTokens: 800})
	}
}
