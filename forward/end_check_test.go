package forward

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
)

// unframed is the head of an answer with neither a length nor chunks.
func unframed() *httpwire.ResponseHead {
	return &httpwire.ResponseHead{Body: httpwire.Framing{Kind: httpwire.UntilClose}}
}

// keepIdle gives a node an idle connection that carried a call, and returns its far end. Messages on it get the
// reply, none if it is empty.
func keepIdle(t *testing.T, f *fleet, n *node, reply string) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	conn := newUpstreamConn(near)
	conn.used = true
	f.keep(n, conn, time.Minute)
	if reply != "" {
		go func() {
			for {
				if _, err := far.Read(make([]byte, 1000)); err != nil {
					return
				}
				if _, err := io.WriteString(far, reply); err != nil {
					return
				}
			}
		}()
	}
	return far
}

// Guards against whole answers that are dropped because their upstream takes no further connection, although it
// would reply on one that is open.
func TestUpstreamThatTakesNoConnectionIsAskedOnAnIdleOne(t *testing.T) {
	for name, upstream := range map[string]endingUpstream{
		"refuses":                {dial: syscall.ECONNREFUSED},
		"no descriptor is left":  {dial: syscall.EMFILE},
		"resets when connecting": {dial: syscall.ECONNRESET},
		"resets what it accepts": {closes: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, _ := newSilentSend(t, 0, 100)
				var opened atomic.Int64
				sent.x.server.options.Dialect = identityDialect{}
				sent.x.server.options.Dial = upstream.dialer(t, &opened)
				keepIdle(t, sent.x.server.fleet, sent.node, sameReply)
				if err := sent.verifyEnd(t.Context(), unframed()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against idle connections that stay open without an owner after a check whose connection got no reaction.
func TestCheckOfASilentUpstreamLeavesNoConnectionOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, _ := newSilentSend(t, 0, 100)
		var opened atomic.Int64
		sent.x.server.options.Dialect = identityDialect{}
		sent.x.server.options.Dial = endingUpstream{silent: time.Minute}.dialer(t, &opened)
		far := keepIdle(t, sent.x.server.fleet, sent.node, "")
		if err := sent.verifyEnd(t.Context(), unframed()); err == nil {
			t.Error("the answer counts as complete")
		}
		sent.x.server.fleet.close()
		_ = far.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the connection is open: %v", err)
		}
	})
}

// Guards against the reply to an earlier check, which an upstream sends twice, the second time late, as proof of
// an answer that ended after it.
func TestConnectionOfACheckIsNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, _ := newSilentSend(t, 0, 100)
		sent.x.server.options.Dialect = identityDialect{}
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		go func() {
			if _, err := far.Read(make([]byte, 1000)); err == nil {
				_, _ = io.WriteString(far, sameReply)
			}
			if _, err := far.Read(make([]byte, 1000)); err == nil { // what the kernel of an ended process takes
				_, _ = io.WriteString(far, sameReply)
			}
		}()
		sent.x.server.options.Dial = func(context.Context, string, string) (net.Conn, error) { return near, nil }
		if err := sent.verifyEnd(t.Context(), unframed()); err != nil {
			t.Fatal(err)
		}
		sent.x.server.options.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		if err := sent.verifyEnd(t.Context(), unframed()); err == nil {
			t.Error("the answer counts as complete")
		}
	})
}

// Guards against whole answers that are dropped because their upstream, which has announced that it leaves, exits a
// moment after its last answer, before it is asked.
func TestLeavingUpstreamIsAskedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		exits time.Duration // after the end of the answer
		whole bool
	}{
		"exits after 5 ms": {5 * time.Millisecond, true},
		"exits at once":    {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, _ := newSilentSend(t, 0, 100)
				sent.x.server.fleet.recordLeaving(sent.node)
				var opened atomic.Int64
				running, ended := endingUpstream{reply: sameReply}.dialer(t, &opened), time.Now()
				sent.x.server.options.Dialect = identityDialect{}
				sent.x.server.options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if time.Since(ended) >= test.exits {
						return nil, syscall.ECONNREFUSED
					}
					return running(ctx, network, address)
				}
				if whole := sent.verifyEnd(t.Context(), unframed()) == nil; whole != test.whole {
					t.Errorf("whole %t, want %t", whole, test.whole)
				}
			})
		})
	}
}

// Guards against whole answers of a plain service that are dropped because its health check waits for a place.
func TestHealthCheckOfAPlainServiceMayWaitForAPlace(t *testing.T) {
	for name, test := range map[string]struct {
		waits time.Duration
		left  time.Duration
		whole bool
	}{
		"a moment":               {1400 * time.Millisecond, 8 * time.Second, true},
		"long, with much time":   {3500 * time.Millisecond, 8 * time.Second, true},
		"long, with little time": {3500 * time.Millisecond, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, _ := newSilentSend(t, 0, 100)
				var opened atomic.Int64
				sent.x.service.Engine, sent.x.service.HealthPath = nil, "/health"
				sent.x.deadline = time.Now().Add(test.left)
				sent.x.server.options.Dialect = identityDialect{}
				sent.x.server.options.Dial = endingUpstream{reply: sameReply, replies: test.waits}.dialer(t, &opened)
				if err := sent.verifyEnd(t.Context(), unframed()); (err == nil) != test.whole {
					t.Error(err)
				}
				if count := opened.Load(); count != 1 {
					t.Errorf("%d connections", count)
				}
				time.Sleep(test.waits) // the reply may still be due
			})
		})
	}
}

// Guards against upstreams that are crashed by a request, restarted at once and taken for the same process, so that
// nothing is known against the request.
func TestUpstreamThatIsRestartedAtOnceHasEnded(t *testing.T) {
	for name, test := range map[string]struct {
		reply string
		ended bool
	}{"restarted": {otherReply, true}, "the same": {sameReply, false}, "no reply": {"", false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := newServerWithNode(t)
				var opened atomic.Int64
				s.options.Dialect = identityDialect{}
				s.options.Dial = endingUpstream{reply: test.reply}.dialer(t, &opened)
				s.fleet.recordBroken(n, brokenSend{phase: phaseStarted, runTime: 10 * time.Millisecond})
				time.Sleep(time.Second)
				s.fleet.mu.Lock()
				defer s.fleet.mu.Unlock()
				if ended := !n.endedAt.IsZero(); ended != test.ended {
					t.Errorf("ended %t", ended)
				}
				if count := opened.Load(); count != 1 {
					t.Errorf("%d connections", count)
				}
			})
		})
	}
}
