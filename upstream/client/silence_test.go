package client

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
)

// silenceTiming has the limit under test; withoutSilence has a limit longer than
// the deadline, so that only the deadline ends a wait.
var (
	silenceTiming  = DefaultTiming
	withoutSilence = Timing{Connect: DefaultTiming.Connect, Silence: time.Hour, Control: DefaultTiming.Control}
)

const silenceDeadline = 10 * time.Minute

// runStream runs one stream and returns how long it took and whether the answer was complete.
func runStream(t *testing.T, timing Timing, script func(conn net.Conn)) (took time.Duration, complete bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { script(conn) })
		c := New(func(context.Context, string) (net.Conn, error) { return p.listener.Dial() }, "", owner, timing)
		ctx, cancel := context.WithTimeout(t.Context(), silenceDeadline)
		defer cancel()
		start := time.Now()
		_, err := generate(ctx, c, NewReceiver("r1"))
		took, complete = time.Since(start), err == nil
	})
	return took, complete
}

func TestSilentConnectionIsNoticed(t *testing.T) {
	// A device between an instance and an engine drops the state of an established
	// connection: no more data arrives and no error is reported, while new
	// connections work. Without the limit the caller waits until its deadline, here
	// ten minutes.
	initFasthttp(t)
	good := frames("r1", 1, "one ", "two ")
	for name, script := range map[string]func(net.Conn){
		"before the header":      hang,
		"before the first token": func(c net.Conn) { write(c, streamHeader); hang(c) },
		"between tokens":         func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0]); hang(c) },
		"before the final frame": func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[:2]...); hang(c) },
	} {
		t.Run(name, func(t *testing.T) {
			with, _ := runStream(t, silenceTiming, script)
			without, _ := runStream(t, withoutSilence, script)
			t.Logf("detected after %v, without the limit after %v", with, without)
			if with != silenceTiming.Silence || without != silenceDeadline {
				t.Errorf("detected after %v, want %v; without the limit after %v", with, silenceTiming.Silence, without)
			}
		})
	}
}

func TestBusyEngineRaisesNoFalseAlarm(t *testing.T) {
	// The prefill of a million tokens takes an engine most of a minute. If the
	// connection were closed during that time, the longest prompts would never be
	// answered.
	initFasthttp(t)
	good := frames("r1", 1, "one ")
	const prefill = 50 * time.Second
	withHeartbeats := func(every time.Duration) func(net.Conn) {
		return func(conn net.Conn) {
			write(conn, streamHeader)
			for busy := time.Duration(0); busy < prefill; busy += every {
				timer := time.NewTimer(every)
				<-timer.C
				writeFrames(conn, wire.Frame{Request: "r1", Attempt: 1, Heartbeat: true})
			}
			writeFrames(conn, good...)
		}
	}
	for name, test := range map[string]struct {
		every    time.Duration
		complete bool
	}{
		"heartbeats at the interval of the protocol":  {500 * time.Millisecond, true},
		"heartbeats at almost six times the interval": {2900 * time.Millisecond, true},
		"no heartbeats": {prefill, false},
	} {
		t.Run(name, func(t *testing.T) {
			if _, complete := runStream(t, silenceTiming, withHeartbeats(test.every)); complete != test.complete {
				t.Errorf("complete is %v", complete)
			}
		})
	}
	size := len(chunk(frameLine(wire.Frame{Request: "01a23883-2f3b-7d4c-ae71-25bf569c9dac", Attempt: 1, Heartbeat: true})))
	t.Logf("a heartbeat is %d bytes", size)
	if size > 128 {
		t.Errorf("a heartbeat is %d bytes", size)
	}
}
