package failover

import (
	"testing"
	"time"

	"celeryport/settings"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	profile = &settings.EngineProfile{
		Slots: 12, MemoryTokens: 382_500, Stride: 52, Step: 925 * time.Microsecond, StepPerSequence: 4830 * time.Nanosecond,
		PrefillRate: 256_000, PairsPerM: 91_700 * time.Nanosecond, Chunk: 2048, MeanPrompt: 5000, MeanAnswer: 1700,
	}
)

// silentSend returns a send whose last event arrived at start.
func silentSend(draw float64) Send {
	return Send{
		Model: Model{Profile: profile, Tokens: 5000}, Began: start.Add(-time.Second), EventAt: start, CallerAt: start, AliveAt: start,
		Silence: 600 * time.Millisecond, Predicted: 150 * time.Millisecond,
		Patience: 2 * time.Second, PauseLimit: 200 * time.Millisecond, Repeatable: true, SendsLeft: 1, Budget: true, Draw: draw,
	}
}

// attempts returns the times from start at which a send moves whose engine prefills until a time
// after start. Each attempt fails and is repeated after 50 ms.
func attempts(s Send, prefillEnd time.Duration) []time.Duration {
	var at []time.Duration
	for passed := time.Duration(0); passed < 3*time.Second; passed += 5 * time.Millisecond {
		now := start.Add(passed)
		s.Prefill = max(0, prefillEnd-passed)
		switch s.Decide(now).Action {
		case Move:
			at, s.NotBefore = append(at, passed), now.Add(50*time.Millisecond)
		case Check:
			s.AliveAt = now
		case Wait:
		}
	}
	return at
}

// Guards against callers that leave although another engine could have sent the next event,
// against moves of streams whose own engine sends it in time, and against attempts in each read
// or after the caller has left.
func TestSilentSendMovesInTimeButNotEarlier(t *testing.T) {
	const earliest, latest, most = 1550 * time.Millisecond, 1800 * time.Millisecond, 10
	tests := []struct {
		name       string
		prefillEnd time.Duration
		change     func(s *Send)
		moves      bool
	}{
		{"no known reason", 0, func(*Send) {}, true},
		{"prefill beyond the patience", 3 * time.Second, func(*Send) {}, true},
		{"prefill that ends when the caller leaves", 2 * time.Second, func(*Send) {}, true},
		{"prefill that ends before the move", time.Second, func(*Send) {}, true},
		{"no first event", 0, func(s *Send) { s.Began, s.EventAt = start, time.Time{} }, true},
		{"no first event, placed late", 0, func(s *Send) { s.Began, s.EventAt = start.Add(1100*time.Millisecond), time.Time{} }, true},
		{"callers of unknown patience", 0, func(s *Send) { s.Patience = 0 }, false},
		{"a route without repeats", 0, func(s *Send) { s.Repeatable = false }, false},
		{"no send left", 0, func(s *Send) { s.SendsLeft = 0 }, false},
		{"no repeat left", 0, func(s *Send) { s.Budget = false }, false},
		{"moved in this gap already", 0, func(s *Send) { s.Moved = true }, false},
		{"the caller has left", 0, func(s *Send) { s.CallerAt = start.Add(-2 * time.Second) }, false},
	}
	for _, test := range tests {
		for _, draw := range []float64{0, 0.5, 0.999} {
			s := silentSend(draw)
			test.change(&s)
			at := attempts(s, test.prefillEnd)
			if moves := len(at) > 0; moves != test.moves {
				t.Errorf("%s: moved: %t, want %t", test.name, moves, test.moves)
			} else if moves && (at[0] < earliest || at[0] > latest || len(at) < 2 || len(at) > most || at[len(at)-1] > s.Patience) {
				t.Errorf("%s: moves after %s, want %s to %s, and some more attempts", test.name, at, earliest, latest)
			}
		}
	}
}

// Guards against a second prefill of each stream of an engine whose known prefill ends shortly
// before the callers leave, and against all streams of an engine moving at once: instances do not
// coordinate, so that all of them would choose the engines that were idle at that moment.
func TestMovesAwaitKnownPrefillAndAreSpread(t *testing.T) {
	const streams, most = 100, 30 // in 50 ms
	for _, prefillEnd := range []time.Duration{0, 1650 * time.Millisecond, 3 * time.Second} {
		perSlice := map[time.Duration]int{}
		for n := range streams {
			at := attempts(silentSend(float64(n)/streams), prefillEnd)[0]
			if prefillEnd < 2*time.Second && at < prefillEnd {
				t.Errorf("moves after %s, the engine prefills until %s", at, prefillEnd)
			}
			perSlice[at/(50*time.Millisecond)]++
		}
		for slice, moves := range perSlice {
			if prefillEnd != 1650*time.Millisecond && moves > most {
				t.Errorf("prefill until %s: %d of %d streams move in slice %d", prefillEnd, moves, streams, slice)
			}
		}
	}
}

// Guards against a prompt that stays at an engine that does not begin it because one engine alone could not read it before its
// caller leaves, although several could, and against moves of one that they could not read either.
func TestUnansweredPromptOfSeveralEnginesMoves(t *testing.T) {
	long := &settings.EngineProfile{Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond, PrefillRate: 154_000, PairsPerM: 162 * time.Microsecond, Chunk: 2048}
	for tokens, moves := range map[int]bool{260_000: true, 379_392: true, 500_222: true, 1_600_000: true, 2_500_000: false} {
		s := Send{
			Model: Model{Profile: long, Tokens: tokens}, Began: start, CallerAt: start, AliveAt: start, Predicted: 2 * time.Second,
			Patience: 16 * time.Second, PauseLimit: time.Second, Repeatable: true, SendsLeft: 1, Budget: true,
		}
		at := attempts(s, 0)
		if (len(at) > 0) != moves || moves && (at[0] < s.Predicted || at[0] > s.Predicted+100*time.Millisecond) {
			t.Errorf("%d tokens: moves after %s", tokens, at)
		}
	}
}

// BenchmarkDecide measures the decisions on one silent stream of each of 600 engines.
func BenchmarkDecide(b *testing.B) {
	s := silentSend(0)
	s.Prefill = 300 * time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		for range 600 {
			s.Decide(start.Add(time.Second))
		}
	}
}
