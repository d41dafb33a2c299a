package reach

import (
	"testing"
	"time"
)

// Guards against taking the usual latency of a distant upstream for a lost path, and against waiting
// for a connection time-out where connections take a millisecond.
func TestSlowFollowsTheUsualLatency(t *testing.T) {
	var l Latency
	if _, known := l.Slow(); known {
		t.Error("a latency is known before the first connection")
	}
	for usual, want := range map[time.Duration]time.Duration{time.Millisecond: minSlow, 100 * time.Millisecond: 100 * time.Millisecond} {
		l = Latency{}
		for range 50 {
			l.Record(usual)
		}
		if got, known := l.Slow(); !known || got < want || got > want+usual {
			t.Errorf("slow after %s where connections take %s", got, usual)
		}
	}
	l = Latency{}
	for i := range 100 {
		l.Record(time.Duration(20+40*(i%2)) * time.Millisecond)
	}
	if got, _ := l.Slow(); got < 80*time.Millisecond {
		t.Errorf("slow after %s where connections take 20 to 60 ms", got)
	}
}
