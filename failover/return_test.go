package failover

import (
	"testing"
	"time"
)

// Guards against leaving an engine that is only busy, and against staying at a silent one although a former one goes on.
func TestReturnToAFormerEngine(t *testing.T) {
	for _, c := range []struct {
		present Sign
		former  []Sign
		at      int
		known   bool
	}{
		{SignNone, []Sign{SignAnswered}, 0, true},
		{SignNone, []Sign{SignNone, SignAnswered}, 1, true},
		{SignNone, []Sign{SignAwaited, SignAnswered}, 1, true},
		{SignNone, []Sign{SignAwaited, SignNone}, -1, false},
		{SignNone, []Sign{SignNone}, -1, true},
		{SignNone, nil, -1, true},
		{SignAwaited, []Sign{SignAnswered}, -1, false},
		{SignAwaited, []Sign{SignNone}, -1, false},
		{SignAnswered, []Sign{SignAnswered}, -1, true},
		{SignAnswered, []Sign{SignAwaited}, -1, true},
	} {
		if at, known := Returns(c.present, c.former); at != c.at || known != c.known {
			t.Errorf("%d, %v: %d %t", c.present, c.former, at, known)
		}
	}
}

// Guards against a return of a call that may still reach another engine, that may not be sent again, whose
// present engine has begun its answer, or that comes too late.
func TestOnlyACallWithoutAnotherEngineMayReturn(t *testing.T) {
	for name, change := range map[string]func(s *Send){
		"":                        func(*Send) {},
		"sends left":              func(s *Send) { s.SendsLeft = 1 },
		"not repeatable":          func(s *Send) { s.Repeatable = false },
		"no repeat left":          func(s *Send) { s.Budget = false },
		"returned before":         func(s *Send) { s.MayReturn = false },
		"its engine has answered": func(s *Send) { s.EventAt = start },
		"too late for the caller": func(s *Send) {
			s.CallerAt, s.Patience = start.Add(MaxSoundSilence/2-1950*time.Millisecond), 2*time.Second
		},
		"too late for the call": func(s *Send) { s.Deadline = start.Add(MaxSoundSilence / 2) },
	} {
		for c := Reachable; c <= Ended; c++ {
			s := Send{Began: start, Deadline: start.Add(time.Minute), Repeatable: true, Budget: true, MayReturn: true}
			change(&s)
			want := name == "" && (c == Overdue || c == Unreachable)
			if got := s.Respond(start.Add(MaxSoundSilence/2), c); (got.Action == Return) != want {
				t.Errorf("%s, %s: %d", name, c, got.Action)
			}
		}
	}
}
