package enginemodel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// operation is one call in a random schedule.
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

// runSchedule runs a schedule and returns its events. With stepwise, the engine advances by
// single iterations, which is the reference for skipping over equal iterations.
func runSchedule(t *rapid.T, operations []operation, stepwise bool) []Event {
	e := New(smallConfig(), epoch)
	var events []Event
	advance := func(until time.Time) {
		for {
			if stepwise {
				e.phase.steps = min(1, e.phase.steps)
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
		t.Fatalf("after an hour %d tasks and the holdings %v remain", len(e.tasks), e.Holdings(last.Add(time.Hour)))
	}
	return events
}

func checkInvariants(t *rapid.T, e *Engine) {
	held := 0
	for _, h := range e.Holdings(e.epoch.Add(time.Duration(e.now))) {
		held += h.Tokens
	}
	if held+e.cache.used > e.config.MemoryTokens || held != e.held+e.reserved.tokens {
		t.Fatalf("held %d (accounted %d+%d), cache %d of %d", held, e.held, e.reserved.tokens, e.cache.used, e.config.MemoryTokens)
	}
	running := len(e.prefilling) + len(e.decoding)
	if running > e.config.MaxRunning {
		t.Fatalf("%d tasks running, more than MaxRunning", running)
	}
	if e.speed > 0 && e.phase.steps == 0 {
		checkIdle(t, e)
	}
	for i, task := range e.prefilling {
		if i > 0 && (!e.prefilling[i-1].before(task) || task.share > 0 && e.prefilling[i-1].share < e.prefilling[i-1].prefillLeft && e.prefilling[i-1].share < e.config.Chunk) {
			t.Fatalf("task %d prefills before a more urgent one has its full share", i)
		}
	}
}

// checkIdle fails if an idle engine has waiting work that could start.
func checkIdle(t *rapid.T, e *Engine) {
	for _, task := range e.waiting {
		if len(e.reserved.list) == 0 || e.reservedFor(task) >= task.memory() {
			t.Fatalf("%s waits on an idle engine", task.ID)
		}
	}
}

func TestSkippingAgreesWithSingleIterations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		operations := drawOperations(t)
		skipped := runSchedule(t, operations, false)
		stepped := runSchedule(t, operations, true)
		if !slices.Equal(skipped, stepped) {
			t.Fatalf("skipping gives\n%v\nsingle iterations give\n%v", skipped, stepped)
		}
		if !slices.IsSortedFunc(skipped, func(a, b Event) int { return a.At.Compare(b.At) }) {
			t.Fatal("events out of order")
		}
	})
}
