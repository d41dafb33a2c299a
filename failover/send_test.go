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
func silentSend() Send {
	return Send{
		Model: Model{Profile: profile, Tokens: 5000}, Began: start.Add(-time.Second), EventAt: start, CallerAt: start, HeardAt: start,
		Silence: 600 * time.Millisecond, Predicted: 150 * time.Millisecond,
		Patience: 2 * time.Second, PauseLimit: 200 * time.Millisecond, Repeatable: true, SendsLeft: 1, Budget: true, Draw: 0.5,
	}
}

// movesAt returns the time from start to the move of a send whose upstream is reachable but
// silent; 0 if it does not move before its caller leaves. change sets the state known at a time.
func movesAt(s Send, change func(s *Send, now time.Time)) time.Duration {
	for passed := time.Duration(0); passed < 3*time.Second; passed += 5 * time.Millisecond {
		now := start.Add(passed)
		if change != nil {
			change(&s, now)
		}
		switch s.Decide(now).Action {
		case Move:
			return passed
		case Check:
			s.HeardAt = now
		case Wait:
		}
	}
	return 0
}

// prefillUntil returns a change that makes the prefill of the engine end at a time after start.
func prefillUntil(end time.Duration) func(*Send, time.Time) {
	return func(s *Send, now time.Time) { s.Prefill = max(0, start.Add(end).Sub(now)) }
}

// Guards against callers that leave although another engine could have sent the next event, and
// against moves of streams whose own engine sends it in time.
func TestSilentSendMovesInTimeButNotEarlier(t *testing.T) {
	const earliest, latest = 1550 * time.Millisecond, 1800 * time.Millisecond
	tests := []struct {
		name   string
		send   func(s *Send)
		change func(*Send, time.Time)
		moves  bool
	}{
		{"no known reason", nil, nil, true},
		{"prefill beyond the patience", nil, prefillUntil(3 * time.Second), true},
		{"prefill that ends when the caller leaves", nil, prefillUntil(2 * time.Second), true},
		{"prefill that ends before the move", nil, prefillUntil(time.Second), true},
		{"no first event", func(s *Send) { s.Began, s.EventAt = start, time.Time{} }, nil, true},
		{"no first event, placed late", func(s *Send) { s.Began, s.EventAt = start.Add(1100*time.Millisecond), time.Time{} }, nil, true},
		{"callers of unknown patience", func(s *Send) { s.Patience = 0 }, nil, false},
		{"a route without repeats", func(s *Send) { s.Repeatable = false }, nil, false},
		{"no send left", func(s *Send) { s.SendsLeft = 0 }, nil, false},
		{"no repeat left", func(s *Send) { s.Budget = false }, nil, false},
		{"moved in this gap already", func(s *Send) { s.Moved = true }, nil, false},
		{"the caller has left", func(s *Send) { s.CallerAt = start.Add(-2 * time.Second) }, nil, false},
	}
	for _, test := range tests {
		for _, draw := range []float64{0, 0.5, 0.999} {
			s := silentSend()
			s.Draw = draw
			if test.send != nil {
				test.send(&s)
			}
			at := movesAt(s, test.change)
			if moves := at > 0; moves != test.moves {
				t.Errorf("%s: moved: %t, want %t", test.name, moves, test.moves)
			} else if moves && (at < earliest || at > latest) {
				t.Errorf("%s: moves %s after the last event, want %s to %s", test.name, at, earliest, latest)
			}
		}
	}
}

// Guards against a second prefill of each stream of an engine whose known prefill ends shortly
// before the callers leave.
func TestSendAwaitsAPassThatEndsInTime(t *testing.T) {
	const end = 1650 * time.Millisecond
	s := silentSend()
	s.Draw = 0
	if at := movesAt(s, prefillUntil(end)); at > 0 && at < end {
		t.Errorf("moves after %s, the engine prefills until %s", at, end)
	}
}

// Guards against all streams of an engine moving at once: instances do not coordinate, so that
// all of them would choose the engines that were idle at that moment.
func TestMovesOfOneEngineAreSpread(t *testing.T) {
	const streams, most = 100, 30 // in 50 ms
	for name, change := range map[string]func(*Send, time.Time){"silent": nil, "prefill": prefillUntil(3 * time.Second)} {
		perSlice := map[time.Duration]int{}
		for n := range streams {
			s := silentSend()
			s.Draw = float64(n) / streams
			perSlice[movesAt(s, change)/(50*time.Millisecond)]++
		}
		for slice, moves := range perSlice {
			if moves > most {
				t.Errorf("%s: %d of %d streams move in slice %d", name, moves, streams, slice)
			}
		}
	}
}

// Guards against an attempt in each read after a move that found no engine, and against attempts
// after the caller has left.
func TestFailedMoveIsRepeatedUntilTheCallerLeaves(t *testing.T) {
	const interval = 50 * time.Millisecond
	s, attempts := silentSend(), 0
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(time.Millisecond) {
		s.HeardAt = now
		if s.Decide(now).Action == Move {
			attempts++
			s.NotBefore = now.Add(interval)
			if now.After(start.Add(s.Patience)) {
				t.Fatalf("an attempt %s after the last event", now.Sub(start))
			}
		}
	}
	if attempts < 3 || attempts > 12 {
		t.Errorf("%d attempts in the last 0.5 s of the patience, one each %s", attempts, interval)
	}
}

// BenchmarkDecide measures the decisions on one silent stream of each of 600 engines.
func BenchmarkDecide(b *testing.B) {
	const engines = 600
	s := silentSend()
	s.Prefill = 300 * time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		for n := range engines {
			s.Draw = float64(n) / engines
			s.Decide(start.Add(time.Second))
		}
	}
}
