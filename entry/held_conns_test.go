package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

const (
	heldBuffer = 4 << 10 // receive buffer of a caller
	heldAnswer = 64 << 10
	heldLimit  = 2 * time.Second
)

// heldCaller returns a connection that was closed after an answer which its caller has not read, and the caller's side.
func heldCaller(t *testing.T, held *heldConns) (near *callerConn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	far = conn.(*net.TCPConn)
	if err := far.SetReadBuffer(heldBuffer); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near = &callerConn{Conn: accepted, held: held}
	reading := make(chan error)
	go func() {
		_, err := near.Read(make([]byte, 1))
		reading <- err
	}()
	if _, err := near.Write(make([]byte, heldAnswer)); err != nil {
		t.Fatal(err)
	}
	if err := near.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-reading; !errors.Is(err, net.ErrClosed) {
		t.Fatalf("a read under way ended with %v", err)
	}
	return near, far
}

// Guards against a shutdown that ends before callers have their answers, or later than its bound or they need.
func TestShutdownWaitsForAnswersUntilItsBound(t *testing.T) {
	const slack = time.Second // of a busy machine
	for name, test := range map[string]struct {
		caller func(*net.TCPConn)
		least  time.Duration
		most   time.Duration
		held   int
	}{
		"reads":       {func(c *net.TCPConn) { go func() { _, _ = io.Copy(io.Discard, c) }() }, 0, heldLimit - 1, 0},
		"sends more":  {func(c *net.TCPConn) { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n") }, heldLimit, heldLimit + slack, 1},
		"reads not":   {func(*net.TCPConn) {}, heldLimit, heldLimit + slack, 1},
		"leaves":      {func(c *net.TCPConn) { _ = c.Close() }, 0, heldLimit - 1, 0},
		"half closes": {func(c *net.TCPConn) { _ = c.CloseWrite() }, heldLimit, heldLimit + slack, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := &heldConns{stopping: func() bool { return true }}
			near, far := heldCaller(t, held)
			if _, err := near.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
				t.Errorf("a write after the close: %v", err)
			}
			if err := near.SetReadDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
				t.Errorf("a deadline after the close: %v", err)
			}
			test.caller(far)
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), heldLimit)
			defer cancel()
			if left, took := held.await(ctx), time.Since(began); left != test.held || took < test.least || took > test.most {
				t.Errorf("%d held after %s", left, took)
			}
			ended, cancelEnd := context.WithTimeout(t.Context(), slack)
			defer cancelEnd()
			if left := held.await(ended); left != 0 {
				t.Error("not closed after the bound")
			}
		})
	}
}
