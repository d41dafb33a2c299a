package logsink

import (
	"bytes"
	"strings"
	"testing"
)

// stalled is an output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestStalledOutputStopsNobody(t *testing.T) {
	// Whoever reads standard output stops reading, for instance a log shipper that
	// hangs. If writing a line waited for it, every request would stand still. The
	// lines that were lost have to be told, or the log would look whole.
	out := &stalled{release: make(chan struct{})}
	w := New(out)
	const lines = bufferedLines + 500
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("nothing was dropped, so the buffer has no bound")
	}
	close(out.release)
	w.Close()
	text := out.String()
	if !strings.Contains(text, `"event":1900`) {
		t.Errorf("the dropped lines are not told: %q", text[max(0, len(text)-200):])
	}
	if written := strings.Count(text, "line\n"); written+int(w.Dropped()) != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, w.Dropped(), lines)
	}
}
