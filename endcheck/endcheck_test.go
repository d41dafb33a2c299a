package endcheck

import (
	"testing"
	"time"
)

// Guards against a part of an answer that counts as whole because something else than its upstream
// replied, and against a whole one that is dropped because its upstream is silent for a moment.
func TestOnlyTheSameIncarnationProvesAnEnd(t *testing.T) {
	ended := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const late = 1500 * time.Millisecond
	check := Check{EndedAt: ended, Patience: late, Deadline: ended.Add(5 * time.Second)}
	short := check
	short.Deadline = ended.Add(time.Second)
	for _, test := range []struct {
		check *Check
		after time.Duration
		saw   Observation
		want  Conclusion
	}{
		{&check, 0, Same, Complete},
		{&check, 4 * time.Second, Same, Complete},
		{&check, 0, Replaced, BrokenOff},
		{&check, 0, Refused, BrokenOff},
		{&check, 0, Unsupported, BrokenOff},
		{&check, 0, Expired, BrokenOff},
		{&check, 0, Silent, Undecided},
		{&check, 0, Unclear, Undecided},
		{&check, 0, Shortage, Undecided},
		{&check, late, Silent, BrokenOff},
		{&check, late, Unclear, BrokenOff},
		{&check, late, Shortage, BrokenOff},
		{&short, time.Second, Silent, BrokenOff},
	} {
		if got := test.check.Conclude(ended.Add(test.after), test.saw); got != test.want {
			t.Errorf("%s after %s: %d, want %d", test.saw, test.after, got, test.want)
		}
	}
}

// Guards against an answer that counts as complete although an upstream that worked on it has ended or did not reply.
func TestJointIsSameOnlyIfAllAre(t *testing.T) {
	for _, test := range []struct {
		observed []Observation
		want     Observation
	}{
		{[]Observation{Same}, Same},
		{[]Observation{Same, Same}, Same},
		{[]Observation{Same, Silent, Refused}, Refused},
		{[]Observation{Silent, Same}, Silent},
		{[]Observation{Same, Unclear, Replaced}, Replaced},
	} {
		if got := Joint(test.observed); got != test.want {
			t.Errorf("%v: %v, want %v", test.observed, got, test.want)
		}
	}
}
