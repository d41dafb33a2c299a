package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// stalled is an output that blocks until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestStalledOutputDoesNotBlockWrites(t *testing.T) {
	// The reader of standard output, for instance a log shipper, stops reading. Writes
	// must not block, which would stall all requests, and dropped lines must be
	// reported, since the log would otherwise look complete.
	out := &stalled{release: make(chan struct{})}
	w := New(out, io.Discard)
	const lines = maxBufferedLines + 500
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped: the buffer is unbounded")
	}
	close(out.release)
	w.Close()
	text := out.String()
	if !strings.Contains(text, `"event":1900`) {
		t.Errorf("dropped lines are not reported: %q", text[max(0, len(text)-200):])
	}
	if written := strings.Count(text, "line\n"); written+int(w.Dropped()) != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, w.Dropped(), lines)
	}
}
