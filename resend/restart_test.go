package resend

import (
	"testing"
	"time"
)

// Guards against trying the address of an ended upstream without a pause or without an end.
func TestRetriesOfOneCallAreFewAndBounded(t *testing.T) {
	began := time.Unix(1000, 0)
	now, tries := began, 1
	for {
		a := Absence{Began: began, MissedAt: now, Misses: tries}
		pause, giveUp := a.PauseBeforeRetry(now)
		if giveUp {
			break
		}
		if pause <= 0 {
			t.Fatal("no pause after a miss")
		}
		now, tries = now.Add(pause), tries+1
	}
	if took := now.Sub(began); tries > 8 || took < maxRestartWait/2 || took > maxRestartWait {
		t.Errorf("%d tries in %s", tries, took)
	}
	if pause, giveUp := (&Absence{Began: began, Misses: 3}).PauseBeforeRetry(now.Add(time.Hour)); pause != 0 || giveUp {
		t.Errorf("a call that reached a running upstream waits %s (%t)", pause, giveUp)
	}
}

// Guards against calls that wait for the restart of an upstream until their callers leave.
func TestCallGivesUpWhileItsCallerWaits(t *testing.T) {
	began := time.Unix(1000, 0)
	deadline := began.Add(580 * time.Millisecond)
	for now, tries := began, 1; ; tries++ {
		a := Absence{Began: began, Deadline: deadline, MissedAt: now, Misses: tries}
		pause, giveUp := a.PauseBeforeRetry(now)
		if giveUp {
			if now.Sub(began) > 400*time.Millisecond || tries < 3 {
				t.Errorf("gives up after %d tries in %s", tries, now.Sub(began))
			}
			return
		}
		if now = now.Add(pause); !now.Before(deadline) {
			t.Fatalf("still waits at the deadline, after %d tries", tries)
		}
	}
}

// Guards against waiting for upstreams that never restarted, and against waiting for ever.
func TestOnlyRestartedUpstreamsAreAwaited(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		replaced time.Time
		at       time.Time
		want     bool
	}{
		{"never seen", time.Time{}, began, false},
		{"just seen", began, began.Add(time.Millisecond), true},
		{"waited long", began, began.Add(maxRestartWait), false},
		{"seen long ago", began.Add(-announcedWithin), began, false},
	} {
		a := Absence{Began: began, ReplacedAt: test.replaced}
		if got := a.AwaitsAnnouncement(test.at); got != test.want {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}
