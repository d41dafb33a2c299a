package drain

import (
	"testing"
	"time"
)

func TestOnlyCallsWhoseDeadlineFitsAreSureToEnd(t *testing.T) {
	const limit = 10 * time.Second
	for _, test := range []struct {
		name              string
		left, since       time.Duration
		needed, remaining time.Duration
		sure              bool
	}{
		{"deadline in time", time.Second, 2 * time.Second, 1050 * time.Millisecond, 8 * time.Second, true},
		{"deadline at the end", 7950 * time.Millisecond, 2 * time.Second, 8 * time.Second, 8 * time.Second, true},
		{"no time to write the answer", 8 * time.Second, 2 * time.Second, 8050 * time.Millisecond, 8 * time.Second, false},
		{"deadline after the end", time.Minute, 0, time.Minute + marginTime, limit, false},
		{"deadline passed", -time.Second, time.Second, marginTime, 9 * time.Second, true},
		{"drain ended", 0, 11 * time.Second, marginTime, -time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := Decision{At: test.since, Needed: test.needed, Left: test.remaining}
			if d := Decide(test.left, test.since, limit); d != want || d.Sure() != test.sure {
				t.Errorf("%+v, sure %t", d, d.Sure())
			}
		})
	}
}

// Guards against a call that starts over in a stop after it has run for longer than is left.
func TestCallsThatRanForLongerThanIsLeftDontStartOver(t *testing.T) {
	const limit = 7 * time.Second
	for _, test := range []struct {
		ran, since time.Duration
		want       bool
	}{
		{0, 0, true},
		{3 * time.Second, 4 * time.Second, true},
		{3*time.Second + 1, 4 * time.Second, false},
		{time.Second, limit, false},
	} {
		if got := MayStartOver(test.ran, test.since, limit); got != test.want {
			t.Errorf("ran %s, %s after the begin: %t", test.ran, test.since, got)
		}
	}
}
