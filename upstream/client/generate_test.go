package client

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"celeryport/upstream/wire"
	"celeryport/verdict"
)

// collect reads a stream to its end.
func collect(s *Stream) (string, error) {
	var text strings.Builder
	for {
		part, err := s.Next()
		text.WriteString(part)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}

func generate(ctx context.Context, c *Client, receiver *Receiver) (string, error) {
	receiver.Expect(1, 0)
	stream, failed := c.Generate(ctx, &GenerateCall{Address: "engine", Request: "r1", Attempt: 1}, receiver)
	if failed != nil {
		return "", failed
	}
	defer stream.Close()
	return collect(stream)
}

func TestGenerateAgainstFaultyEngines(t *testing.T) {
	// Engines crash, hang, restart and mix up answers in the middle of a call. If
	// one of these passed for a whole answer, a caller would act on half a text or
	// on somebody else's; if one passed for "not run", the call would run twice.
	warm(t)
	good := frames("r1", 1, "one ", "two ", "three")
	tests := map[string]struct {
		script  func(conn net.Conn)
		text    string // what was accepted before the fault
		whole   bool
		verdict verdict.Verdict
	}{
		"whole answer": {
			script: func(conn net.Conn) { write(conn, streamHeader); writeFrames(conn, good...) },
			text:   "one two three", whole: true,
		},
		"heartbeats between the tokens": {
			script: func(conn net.Conn) {
				write(conn, streamHeader)
				for _, f := range good {
					timer := time.NewTimer(DefaultTiming.Silence - time.Millisecond)
					<-timer.C
					writeFrames(conn, wire.Frame{Request: "r1", Attempt: 1, Heartbeat: true})
					timer.Reset(DefaultTiming.Silence - time.Millisecond)
					<-timer.C
					writeFrames(conn, f)
				}
			},
			text: "one two three", whole: true,
		},
		"reads the call and closes": {script: func(net.Conn) {}, verdict: verdict.MayHaveRun},
		"accepts and never answers": {script: hang, verdict: verdict.MayHaveRun},
		"closes inside the header":  {script: func(c net.Conn) { write(c, "HTTP/1.1 200") }, verdict: verdict.MayHaveRun},
		"fails without a mark":      {script: func(c net.Conn) { write(c, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n") }, verdict: verdict.MayHaveRun},
		"refuses with the mark": {script: func(c net.Conn) {
			write(c, "HTTP/1.1 503 X\r\nX-Celeryport-Refused: full\r\nContent-Length: 0\r\n\r\n")
		}, verdict: verdict.NotRun},
		"gives up before the first token": {script: func(c net.Conn) {
			write(c, streamHeader)
			writeFrames(c, wire.Frame{Request: "r1", Attempt: 1, Error: "memory", Refused: true})
		}, verdict: verdict.NotRun},
		"claims a refusal after a token": {
			script: func(c net.Conn) {
				write(c, streamHeader)
				writeFrames(c, good[0], wire.Frame{Request: "r1", Attempt: 1, Error: "memory", Refused: true})
			},
			text: "one ", verdict: verdict.MayHaveRun,
		},
		"closes short": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0], good[1]) },
			text:   "one two ", verdict: verdict.MayHaveRun,
		},
		"ends the stream in good order but short": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0]); write(c, "0\r\n\r\n") },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"goes silent in the middle": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0]); hang(c) },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"answers another request": {
			script:  func(c net.Conn) { write(c, streamHeader); writeFrames(c, frames("r2", 1, "theirs")...) },
			verdict: verdict.MayHaveRun,
		},
		"answers an earlier attempt": {
			script:  func(c net.Conn) { write(c, streamHeader); writeFrames(c, frames("r1", 0, "old")...) },
			verdict: verdict.MayHaveRun,
		},
		"loses a frame": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0], good[2], good[3]) },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"doubles a frame": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0], good[0], good[1]) },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"sends another text under the same offsets": {
			script: func(c net.Conn) {
				write(c, streamHeader)
				bad := good[1]
				bad.Text = "TWO "
				writeFrames(c, good[0], bad, good[2], good[3])
			},
			text: "one TWO three", verdict: verdict.MayHaveRun,
		},
		"sends no frames": {
			script:  func(c net.Conn) { write(c, streamHeader, chunk("<html>\n")) },
			verdict: verdict.MayHaveRun,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { test.script(conn) })
				receiver := NewReceiver("r1")
				text, err := generate(t.Context(), p.client(), receiver)
				if text != test.text {
					t.Errorf("accepted %q, want %q", text, test.text)
				}
				if receiver.Complete() != test.whole || (err == nil) != test.whole {
					t.Fatalf("complete %v, error %v", receiver.Complete(), err)
				}
				if err != nil && verdict.From(err).Verdict != test.verdict {
					t.Errorf("verdict %v, want %v: %v", verdict.From(err).Verdict, test.verdict, err)
				}
				if p.calls.Load() != 1 {
					t.Errorf("the upstream saw %d calls", p.calls.Load())
				}
			})
		})
	}
}

func TestRefusedConnectionWasNotRun(t *testing.T) {
	c := New(func(context.Context, string) (net.Conn, error) { return nil, io.ErrClosedPipe }, "", owner, DefaultTiming)
	_, err := generate(t.Context(), c, NewReceiver("r1"))
	if verdict.From(err).Verdict != verdict.NotRun {
		t.Fatalf("got %v", err)
	}
}

func TestDeadlineEndsAnyWait(t *testing.T) {
	// An engine freezes, or sends heartbeats for ever without a token. Without
	// the deadline on the connection the caller would wait for ever.
	warm(t)
	for name, script := range map[string]func(net.Conn){
		"frozen": hang,
		"heartbeats only": func(conn net.Conn) {
			write(conn, streamHeader)
			for range 100 {
				writeFrames(conn, wire.Frame{Request: "r1", Attempt: 1, Heartbeat: true})
				timer := time.NewTimer(time.Second)
				<-timer.C
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { script(conn) })
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				start := time.Now()
				_, err := generate(ctx, p.client(), NewReceiver("r1"))
				if err == nil || time.Since(start) > 2*time.Second {
					t.Fatalf("ended with %v after %v", err, time.Since(start))
				}
			})
		})
	}
}

// warm makes one fasthttp request outside any bubble: fasthttp starts a global
// date goroutine once, which must not belong to a bubble.
func warm(t *testing.T) {
	t.Helper()
	p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { write(conn, streamHeader) })
	_, _ = generate(t.Context(), p.client(), NewReceiver("r1"))
}
