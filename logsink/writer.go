// Package logsink writes log lines without blocking the caller, so that a full pipe
// on standard output can't stall requests.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer copies lines to a slow output through a bounded buffer. If the buffer is
// full, lines are dropped and counted, and the count is logged before the next line
// that is written.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	reported  uint64 // dropped lines that were already reported
	done      chan struct{}
	closeOnce sync.Once
}

// maxBufferedLines is the capacity of the buffer: about 400 KB of typical lines, enough
// for the output to stall for several seconds at 200 lines a second.
const maxBufferedLines = 1024

// New starts a writer. Call Close to stop it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails or blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close flushes the buffer and stops the writer. Write must not be called after
// Close.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		w.reportDropped()
		_, _ = w.out.Write(line) // there is nowhere else to report an error
	}
	w.reportDropped()
}

func (w *Writer) reportDropped() {
	dropped := w.dropped.Load()
	if dropped == w.reported {
		return
	}
	_, _ = fmt.Fprintf(w.out, `{"event":1900,"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", dropped-w.reported) // as above
	w.reported = dropped
}
