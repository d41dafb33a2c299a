package resilient

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"
)

// failing is a listener whose attempts fail with the errors that fail returns; after nil a
// connection is accepted.
type failing struct {
	fail     func() error
	attempts int
	closed   chan struct{}
}

func (f *failing) Accept() (net.Conn, error) {
	f.attempts++
	select {
	case <-f.closed:
		return nil, net.ErrClosed
	default:
	}
	if err := f.fail(); err != nil {
		return nil, err
	}
	conn, other := net.Pipe()
	other.Close()
	return conn, nil
}

func (f *failing) Close() error   { close(f.closed); return nil }
func (f *failing) Addr() net.Addr { return &net.TCPAddr{Port: 80} }

func newFailing(fail func() error) *failing {
	return &failing{fail: fail, closed: make(chan struct{})}
}

// failure is the form in which package net returns the error of accept4.
func failure(number syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", number)}
}

// Guards against a server that ends, spins or fills the log because of errors that pass, and
// against one that accepts late afterwards.
func TestErrorsThatPassAreOutlasted(t *testing.T) {
	for _, number := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPERM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EINTR,
	} {
		synctest.Test(t, func(t *testing.T) {
			log, hook := logtest.NewNullLogger()
			passed := time.Now().Add(2*logInterval + time.Second)
			inner := newFailing(func() error {
				if time.Now().Before(passed) {
					return failure(number)
				}
				return nil
			})
			listener := NewListener(log, "callers", inner)
			for range 2 {
				conn, err := listener.Accept()
				if err != nil {
					t.Fatalf("%v: %v", number, err)
				}
				conn.Close()
			}
			if late := time.Since(passed); late > maxPause {
				t.Errorf("%v: accepted %s late", number, late)
			}
			if inner.attempts > 300 {
				t.Errorf("%v: %d attempts in 21 s", number, inner.attempts)
			}
			var lines []string
			for _, entry := range hook.AllEntries() {
				lines = append(lines, entry.Message)
			}
			if len(lines) != 4 || lines[0] != "connections not accepted" || lines[3] != "connections accepted again" {
				t.Errorf("%v: logged %q", number, lines)
			}
		})
	}
}

// Guards against lines without bound when every other connection fails, for instance because of
// a firewall.
func TestAlternatingFailuresAreLoggedAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		count := 0
		listener := NewListener(log, "callers", newFailing(func() error {
			if count++; count%2 == 0 {
				return failure(syscall.EPERM)
			}
			return nil
		}))
		for began := time.Now(); time.Since(began) < 3*logInterval-time.Second; {
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
		}
		if lines := len(hook.AllEntries()); lines > 6 {
			t.Errorf("%d lines in 29 s", lines)
		}
	})
}

// Guards against a stop that waits for a pause, and against one that is logged as a failure.
func TestCloseEndsAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		listener := NewListener(log, "callers", newFailing(func() error { return failure(syscall.EMFILE) }))
		ended := make(chan error, 1)
		began := time.Now()
		go func() {
			_, err := listener.Accept()
			ended <- err
		}()
		synctest.Wait()
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(began) != 0 {
			t.Errorf("%v after %s", err, time.Since(began))
		}
		if lines := len(hook.AllEntries()); lines != 1 {
			t.Errorf("%d lines", lines)
		}
	})
}

// Guards against retries without end at a socket that no longer works.
func TestFinalErrorIsLoggedAndReturned(t *testing.T) {
	for _, err := range []error{failure(syscall.EBADF), failure(syscall.EINVAL), errors.New("unknown")} {
		log, hook := logtest.NewNullLogger()
		inner := newFailing(func() error { return err })
		if _, got := NewListener(log, "control", inner).Accept(); !errors.Is(got, err) || inner.attempts != 1 {
			t.Errorf("%v: returned %v after %d attempts", err, got, inner.attempts)
		}
		if last := hook.LastEntry(); last == nil || last.Message != "listening socket failed" || last.Data["purpose"] != "control" {
			t.Errorf("%v: logged %v", err, last)
		}
	}
}

// Guards against servers of libraries that end at errors that pass.
func TestServersOfLibrariesOutlastErrors(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	errs := []error{failure(syscall.ENOBUFS), failure(syscall.EPERM), failure(syscall.EMFILE), net.ErrClosed}
	for name, serve := range map[string]func(net.Listener) error{
		"net/http": (&http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}).Serve,
		"fasthttp": (&fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}).Serve,
	} {
		inner := newFailing(nil)
		inner.fail = func() error { return errs[inner.attempts-1] }
		if err := serve(NewListener(log, "control", inner)); inner.attempts != len(errs) {
			t.Errorf("%s: ended with %v after %d attempts", name, err, inner.attempts)
		}
	}
}
