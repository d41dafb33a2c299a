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

// silenceTiming has the limit under test; withoutSilence stands for a client that
// waits for the deadline.
var (
	silenceTiming  = DefaultTiming
	withoutSilence = Timing{Connect: DefaultTiming.Connect, Silence: time.Hour, Control: DefaultTiming.Control}
)

const silenceDeadline = 10 * time.Minute

// detection runs one stream and returns when it ended and whether it was whole.
func detection(t *testing.T, timing Timing, script func(conn net.Conn)) (took time.Duration, whole bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { script(conn) })
		c := New(func(context.Context, string) (net.Conn, error) { return p.listener.Dial() }, "", owner, timing)
		ctx, cancel := context.WithTimeout(t.Context(), silenceDeadline)
		defer cancel()
		start := time.Now()
		_, err := generate(ctx, c, NewReceiver("r1"))
		took, whole = time.Since(start), err == nil
	})
	return took, whole
}

func TestSilentConnectionIsNoticed(t *testing.T) {
	// Something between an instance and an engine loses track of an open
	// connection: nothing arrives any more and nothing fails, while new connections
	// work. Without a limit the caller waits until its deadline, ten minutes here.
	warm(t)
	good := frames("r1", 1, "one ", "two ")
	for name, script := range map[string]func(net.Conn){
		"before the header":      hang,
		"before the first token": func(c net.Conn) { write(c, streamHeader); hang(c) },
		"between tokens":         func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0]); hang(c) },
		"before the final frame": func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[:2]...); hang(c) },
	} {
		t.Run(name, func(t *testing.T) {
			with, _ := detection(t, silenceTiming, script)
			without, _ := detection(t, withoutSilence, script)
			t.Logf("noticed after %v, without the limit after %v", with, without)
			if with != silenceTiming.Silence || without != silenceDeadline {
				t.Errorf("noticed after %v, want %v; without the limit after %v", with, silenceTiming.Silence, without)
			}
		})
	}
}

func TestBusyEngineRaisesNoFalseAlarm(t *testing.T) {
	// A prefill of a million tokens keeps an engine busy for most of a minute. If
	// that counted as silence, the longest prompts would never be answered.
	warm(t)
	good := frames("r1", 1, "one ")
	const prefill = 50 * time.Second
	beating := func(every time.Duration) func(net.Conn) {
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
		every time.Duration
		whole bool
	}{
		"heartbeats as the protocol says": {500 * time.Millisecond, true},
		"heartbeats late by five":         {2900 * time.Millisecond, true},
		"no heartbeats":                   {prefill, false},
	} {
		t.Run(name, func(t *testing.T) {
			if _, whole := detection(t, silenceTiming, beating(test.every)); whole != test.whole {
				t.Errorf("whole is %v", whole)
			}
		})
	}
	beat := len(chunk(frameLine(wire.Frame{Request: "01a23883-2f3b-7d4c-ae71-25bf569c9dac", Attempt: 1, Heartbeat: true})))
	t.Logf("a heartbeat is %d bytes", beat)
	if beat > 128 {
		t.Errorf("a heartbeat is %d bytes", beat)
	}
}
