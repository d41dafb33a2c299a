package logsink

import (
	"bytes"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failing is an output that fails while it is set to.
type failing struct {
	err   error
	taken int // bytes that are written nevertheless
	bytes.Buffer
}

func (f *failing) Write(p []byte) (int, error) {
	if f.err != nil {
		f.Buffer.Write(p[:f.taken])
		return f.taken, f.err
	}
	return f.Buffer.Write(p)
}

// Guards against a log that ends without a word when its output fails: lines go to the fallback
// with the reason, and back after the output is restored.
func TestFailedOutputIsLoggedAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, fallback := &failing{err: syscall.EPIPE, taken: 2}, &failing{}
		w := New(out, fallback)
		write := func(line string) {
			_, _ = w.Write([]byte(line))
			synctest.Wait()
		}
		write("first\n")
		if head, rest, _ := strings.Cut(fallback.String(), "\n"); !strings.Contains(head, `"event":1901`) ||
			!strings.Contains(head, "broken pipe") || !strings.Contains(head, `"since"`) || rest != "first\n" {
			t.Errorf("fallback: %q", fallback.String())
		}
		fallback.err = syscall.EPIPE
		write("lost\n")
		if w.Dropped() != 1 || w.Diverted() != 1 {
			t.Errorf("%d lines dropped and %d diverted", w.Dropped(), w.Diverted())
		}
		time.Sleep(retryInterval)
		out.err = nil
		write("second\n")
		text, found := strings.CutPrefix(out.String(), "fi\n")
		if !found || !strings.Contains(text, `"event":1902`) || !strings.Contains(text, `"event":1900`) || !strings.HasSuffix(text, "\nsecond\n") {
			t.Errorf("output: %q", out.String())
		}
		w.Close()
		if _, err := w.Write([]byte("late\n")); err != nil || w.Dropped() != 2 {
			t.Errorf("after Close: %v, %d lines dropped", err, w.Dropped())
		}
	})
}

// Guards against an output that stalls for good and keeps a stopping process.
func TestCloseDoesNotWaitForAStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, fallback := &stalled{release: make(chan struct{})}, &bytes.Buffer{}
		w := New(out, fallback)
		for range 3 {
			_, _ = w.Write([]byte("line\n"))
		}
		w.Close()
		if w.Dropped() != 3 || !strings.Contains(fallback.String(), `"event":1903`) {
			t.Errorf("%d lines dropped; fallback %q", w.Dropped(), fallback)
		}
		close(out.release)
	})
}

// Guards against both standard streams being pipes that stall: the fallback must not keep Close.
func TestCloseDoesNotWaitForAStalledFallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{release: make(chan struct{})}
		w := New(out, &stalled{release: out.release})
		_, _ = w.Write([]byte("line\n"))
		w.Close()
		close(out.release)
	})
}
