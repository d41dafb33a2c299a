package enginemodel

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// operation is one call of a random schedule.
type operation struct {
	at    time.Duration
	kind  string
	id    string
	owner string
	job   Job
	hold  int
	lease time.Duration
	speed float64
}

func drawOperations(t *rapid.T) []operation {
	at := time.Duration(0)
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
		at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond
		id := fmt.Sprint("r", rapid.IntRange(0, 30).Draw(t, "id"))
		owner := fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "owner"))
		return operation{
			at: at, id: id, owner: owner,
			kind: rapid.SampledFrom([]string{"submit", "submit", "submit", "submit", "cancel", "owner", "reserve", "speed"}).Draw(t, "kind"),
			job: Job{
				ID: id, Owner: owner,
				Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
				PromptTokens: rapid.IntRange(1, 30_000).Draw(t, "prompt"),
				OutputTokens: rapid.IntRange(1, 300).Draw(t, "output"),
				PrefixHash:   uint64(rapid.IntRange(0, 4).Draw(t, "prefix")),
				PrefixTokens: rapid.IntRange(0, 5000).Draw(t, "prefix tokens"),
			},
			hold:  rapid.IntRange(0, 30_000).Draw(t, "hold"),
			lease: time.Duration(rapid.IntRange(1, 9000).Draw(t, "lease")) * time.Millisecond,
			speed: rapid.SampledFrom([]float64{0, 0.1, 1, 1, 1, 3}).Draw(t, "speed"),
		}
	}), 1, 60).Draw(t, "operations")
}

func smallConfig() Config {
	return Config{
		MemoryTokens: 60_000, MaxRunning: 5, CacheTokens: 9000, Chunk: 1000,
		LoadLag: 300 * time.Millisecond, CacheLossOneIn: 3, FirstAndLastOnly: true,
	}
}

// play runs a schedule; stepwise forces the engine to go one iteration at a
// time, which is the naive way that the skipping must agree with.
func play(t *rapid.T, operations []operation, stepwise bool) []Event {
	e := New(smallConfig(), epoch)
	var events []Event
	advance := func(until time.Time) {
		for {
			if stepwise {
				e.stretch.steps = min(1, e.stretch.steps)
			}
			next := e.Next()
			if next.IsZero() || next.After(until) {
				events = append(events, e.Advance(until)...)
				return
			}
			events = append(events, e.Advance(next)...)
			checkInvariants(t, e)
		}
	}
	for _, o := range operations {
		now := epoch.Add(o.at)
		advance(now)
		switch o.kind {
		case "submit":
			_ = e.Submit(now, o.job)
		case "cancel":
			e.Cancel(now, o.id)
		case "owner":
			e.CancelOwner(now, o.owner)
		case "reserve":
			e.Reserve(now, o.id, o.owner, o.hold, o.lease)
		case "speed":
			e.SetSpeed(now, o.speed)
		}
		checkInvariants(t, e)
	}
	last := epoch.Add(operations[len(operations)-1].at)
	e.SetSpeed(last, 1)
	advance(last.Add(time.Hour))
	if len(e.tasks) != 0 || len(e.Holdings(last.Add(time.Hour))) != 0 {
		t.Fatalf("after an hour %d tasks and %v are left", len(e.tasks), e.Holdings(last.Add(time.Hour)))
	}
	return events
}

func checkInvariants(t *rapid.T, e *Engine) {
	held := 0
	for _, h := range e.Holdings(e.epoch.Add(time.Duration(e.now))) {
		held += h.Tokens
	}
	if held+e.cache.used > e.config.MemoryTokens || held != e.held+e.reserved.tokens {
		t.Fatalf("held %d (accounts %d+%d), cache %d of %d", held, e.held, e.reserved.tokens, e.cache.used, e.config.MemoryTokens)
	}
	running := len(e.prefilling) + len(e.decoding)
	if running > e.config.MaxRunning {
		t.Fatalf("%d running", running)
	}
	if e.speed > 0 && len(e.tasks) > 0 && e.stretch.steps == 0 && len(e.reserved.list) == 0 {
		t.Fatal("work waits on an idle engine")
	}
	for i, task := range e.prefilling {
		if i > 0 && (!e.prefilling[i-1].before(task) || task.share > 0 && e.prefilling[i-1].share < e.prefilling[i-1].left && e.prefilling[i-1].share < e.config.Chunk) {
			t.Fatalf("task %d prefills before a more urgent one is through", i)
		}
	}
}

func TestSkippingAgreesWithSingleIterations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		operations := drawOperations(t)
		skipped := play(t, operations, false)
		stepped := play(t, operations, true)
		if !slices.Equal(skipped, stepped) {
			t.Fatalf("skipping gives\n%v\nsingle iterations give\n%v", skipped, stepped)
		}
		if !slices.IsSortedFunc(skipped, func(a, b Event) int { return a.At.Compare(b.At) }) {
			t.Fatal("events out of order")
		}
	})
}

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

// finishTimes runs until nothing changes any more.
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

// A long prompt takes its memory and prefills for many iterations. If a counter
// question that comes later had to wait for its end, the client at the counter
// would wait half a minute for the first word.
func TestUrgentPromptCutsIntoLongPrefill(t *testing.T) {
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

// Small prompts fit into the memory that a large one still waits for. If each of
// them slipped past, the large one would never start while they keep coming.
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
			t.Errorf("%s came before the large prompt", id)
		}
	}
}

func TestPrefixCacheShortensPrefillAndGivesWay(t *testing.T) {
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

// An instance that reserved memory for a span dies and never frees it. Without
// the lapse of its lease the waiting prompt, and all behind it, would hang.
func TestReservationOfDeadOwnerLapses(t *testing.T) {
	e := New(smallConfig(), epoch)
	e.Reserve(epoch, "span", "dead", 50_000, 5*time.Second)
	_ = e.Submit(epoch, Job{ID: "a", PromptTokens: 20_000, OutputTokens: 1})
	first, _ := finishTimes(e)
	if first["a"] < 5*time.Second || first["a"] > 7*time.Second {
		t.Errorf("first token after %v", first["a"])
	}
}

// The same death while another stream decodes for a long time: the engine skips
// over that stream's tokens and must still notice the lapse in between.
func TestReservationLapsesDuringLongDecode(t *testing.T) {
	e := New(smallConfig(), epoch)
	_ = e.Submit(epoch, Job{ID: "long", PromptTokens: 100, OutputTokens: 5000})
	e.Reserve(epoch, "span", "dead", 50_000, 5*time.Second)
	_ = e.Submit(epoch, Job{ID: "a", PromptTokens: 20_000, OutputTokens: 1})
	first, _ := finishTimes(e)
	if first["a"] < 5*time.Second || first["a"] > 7*time.Second {
		t.Errorf("first token after %v", first["a"])
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
