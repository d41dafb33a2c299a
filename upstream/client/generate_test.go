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

// collect reads a stream to its end and returns its text.
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
	// Engines crash, hang, restart or send frames of another answer during a call.
	// If the client accepted such an answer as complete, the caller would get a
	// truncated text or that of another request; if it reported "not run", the call
	// could be executed twice.
	initFasthttp(t)
	good := frames("r1", 1, "one ", "two ", "three")
	tests := map[string]struct {
		script   func(conn net.Conn)
		text     string // the text accepted before the fault
		complete bool
		verdict  verdict.Verdict
	}{
		"complete answer": {
			script: func(conn net.Conn) { write(conn, streamHeader); writeFrames(conn, good...) },
			text:   "one two three", complete: true,
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
			text: "one two three", complete: true,
		},
		"reads the call and closes":        {script: func(net.Conn) {}, verdict: verdict.MayHaveRun},
		"accepts and never answers":        {script: hang, verdict: verdict.MayHaveRun},
		"closes inside the header":         {script: func(c net.Conn) { write(c, "HTTP/1.1 200") }, verdict: verdict.MayHaveRun},
		"fails without the refusal header": {script: func(c net.Conn) { write(c, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n") }, verdict: verdict.MayHaveRun},
		"refuses with the refusal header": {script: func(c net.Conn) {
			write(c, "HTTP/1.1 503 X\r\nX-Celeryport-Refused: full\r\nContent-Length: 0\r\n\r\n")
		}, verdict: verdict.NotRun},
		"refuses in a frame before the first token": {script: func(c net.Conn) {
			write(c, streamHeader)
			writeFrames(c, wire.Frame{Request: "r1", Attempt: 1, Error: "memory", Refused: true})
		}, verdict: verdict.NotRun},
		"refuses in a frame after the first token": {
			script: func(c net.Conn) {
				write(c, streamHeader)
				writeFrames(c, good[0], wire.Frame{Request: "r1", Attempt: 1, Error: "memory", Refused: true})
			},
			text: "one ", verdict: verdict.MayHaveRun,
		},
		"closes the connection early": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0], good[1]) },
			text:   "one two ", verdict: verdict.MayHaveRun,
		},
		"ends the chunked body early": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0]); write(c, "0\r\n\r\n") },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"goes silent in the middle": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0]); hang(c) },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"sends frames of another request": {
			script:  func(c net.Conn) { write(c, streamHeader); writeFrames(c, frames("r2", 1, "theirs")...) },
			verdict: verdict.MayHaveRun,
		},
		"sends frames of an earlier attempt": {
			script:  func(c net.Conn) { write(c, streamHeader); writeFrames(c, frames("r1", 0, "old")...) },
			verdict: verdict.MayHaveRun,
		},
		"omits a frame": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0], good[2], good[3]) },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"repeats a frame": {
			script: func(c net.Conn) { write(c, streamHeader); writeFrames(c, good[0], good[0], good[1]) },
			text:   "one ", verdict: verdict.MayHaveRun,
		},
		"sends a text that does not match the checksum": {
			script: func(c net.Conn) {
				write(c, streamHeader)
				bad := good[1]
				bad.Text = "TWO "
				writeFrames(c, good[0], bad, good[2], good[3])
			},
			text: "one TWO three", verdict: verdict.MayHaveRun,
		},
		"sends a body without frames": {
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
				if receiver.Complete() != test.complete || (err == nil) != test.complete {
					t.Fatalf("complete %v, error %v", receiver.Complete(), err)
				}
				if err != nil && verdict.From(err).Verdict != test.verdict {
					t.Errorf("verdict %v, want %v: %v", verdict.From(err).Verdict, test.verdict, err)
				}
				if p.calls.Load() != 1 {
					t.Errorf("the upstream received %d calls, want 1", p.calls.Load())
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
	// An engine hangs, or sends heartbeats without end and no token. If the end of
	// the context did not close the connection, the caller would wait past its
	// deadline.
	initFasthttp(t)
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

// initFasthttp makes one fasthttp request outside any synctest bubble: with the first
// request fasthttp starts a global goroutine that updates the date, and that
// goroutine must not belong to a bubble.
func initFasthttp(t *testing.T) {
	t.Helper()
	p := newPeer(t, func(conn net.Conn, _ *fasthttp.Request) { write(conn, streamHeader) })
	_, _ = generate(t.Context(), p.client(), NewReceiver("r1"))
}
