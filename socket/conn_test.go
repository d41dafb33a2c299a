package socket

import (
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// connect returns both sides of a connection.
func connect(t *testing.T) (near *Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	opened, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near, far = NewConn(opened), accepted.(*net.TCPConn)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func reset(far *net.TCPConn) {
	_ = far.SetLinger(0)
	_ = far.Close()
}

// awaitFailure waits until a connection has failed, which consumes neither the failure nor the data before it.
func awaitFailure(t *testing.T, c *Conn) {
	t.Helper()
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for failed := false; !failed; runtime.Gosched() {
		err := raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd)}}
			_, _ = unix.Poll(fds, 0)
			failed = fds[0].Revents&unix.POLLERR != 0
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// readAll reads to the end of the stream.
func readAll(t *testing.T, c *Conn) (string, error) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil { // so that a failing test ends
		t.Fatal(err)
	}
	var read []byte
	for {
		p := make([]byte, 100)
		n, err := c.Read(p)
		if read = append(read, p[:n]...); err != nil {
			return string(read), err
		}
	}
}

// Guards against a stream that ends in order although its connection failed, because something else than a read has met
// the failure.
func TestStreamOfAFailedConnectionDoesNotEndInOrder(t *testing.T) {
	for name, meet := range map[string]func(t *testing.T, c *Conn, far *net.TCPConn){
		"nothing else": func(*testing.T, *Conn, *net.TCPConn) {},
		"a check": func(t *testing.T, c *Conn, _ *net.TCPConn) {
			if _, err := io.ReadFull(c, make([]byte, len("part"))); err != nil { // a check meets the failure only after the data
				t.Fatal(err)
			}
			for range 3 {
				if !c.Readable() {
					t.Error("a failed connection is not readable")
				}
			}
		},
		"a write": func(t *testing.T, c *Conn, _ *net.TCPConn) {
			if _, err := c.Write([]byte("call")); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatal(err)
			}
		},
		"a write of buffers": func(t *testing.T, c *Conn, _ *net.TCPConn) {
			if _, err := c.WriteBuffers(&net.Buffers{[]byte("call"), []byte("body")}); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			_, _ = io.WriteString(far, "part")
			reset(far)
			awaitFailure(t, near)
			meet(t, near, far)
			for range 2 { // also if it is read again
				if _, err := readAll(t, near); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the stream ended with %v", err)
				}
			}
		})
	}
}

// Guards against silent connections that seem to have data, or to have ended, because a signal has interrupted the check.
// The collector of garbage sends signals to the threads of the process.
func TestSignalsMakeNoConnectionReadable(t *testing.T) {
	near, _ := connect(t)
	collected := make(chan struct{})
	var collecting sync.WaitGroup
	for range 2 {
		collecting.Go(func() {
			for {
				select {
				case <-collected:
					return
				default:
					runtime.GC()
				}
			}
		})
	}
	defer collecting.Wait()
	defer close(collected)
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		if near.Readable() {
			t.Fatal("a connection without data is readable")
		}
	}
}

// Guards against whole streams that count as failed because their peer takes nothing more afterwards.
func TestStreamThatWasEndedBeforeAResetIsWhole(t *testing.T) {
	near, far := connect(t)
	_, _ = io.WriteString(far, "whole")
	_ = far.CloseWrite()
	reset(far)
	for {
		if _, err := near.Write(make([]byte, 1000)); err != nil { // has met the reset
			break
		}
	}
	if text, err := readAll(t, near); text != "whole" || !errors.Is(err, io.EOF) {
		t.Errorf("%q, %v", text, err)
	}
}

// Guards against a call that waits until its deadline for a write to a peer that has ended its answer.
func TestEndOfTheStreamEndsWrites(t *testing.T) {
	near, far := connect(t)
	began := time.Now()
	written := make(chan error, 1)
	go func() {
		err := near.SetWriteDeadline(time.Now().Add(time.Minute))
		for err == nil {
			_, err = near.Write(make([]byte, 1<<20))
		}
		written <- err
	}()
	_, _ = far.Read(make([]byte, 1))
	_ = far.CloseWrite()
	if _, err := readAll(t, near); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if err := <-written; err == nil {
		t.Error("the write has no error")
	}
	if err := near.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Error(err)
	}
	if _, err := near.Write(make([]byte, 100<<20)); err == nil {
		t.Error("a later write has no error")
	}
	if took := time.Since(began); took >= 30*time.Second { // the deadlines of the writes are a minute
		t.Errorf("the writes ended after %s", took)
	}
}

// lateWriter is a connection whose write has met a reset when a read finds the end of the stream, but returns after it.
type lateWriter struct {
	net.Conn
	writes, ended chan struct{}
}

func (c *lateWriter) Write([]byte) (int, error) {
	close(c.writes)
	<-c.ended
	return 0, syscall.ECONNRESET
}

func (c *lateWriter) Read([]byte) (int, error) { return 0, io.EOF }

func (c *lateWriter) SetWriteDeadline(time.Time) error {
	close(c.ended)
	return nil
}

// Guards against a stream that ends in order because the write that has met the reset is about to return.
func TestEndOfTheStreamAwaitsTheWriteUnderWay(t *testing.T) {
	late := &lateWriter{writes: make(chan struct{}), ended: make(chan struct{})}
	conn := NewConn(late)
	go func() { _, _ = conn.Write([]byte("call")) }()
	<-late.writes
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the stream ended with %v", err)
	}
}
