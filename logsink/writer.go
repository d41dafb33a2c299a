// Package logsink writes log lines without ever making the writer of a line
// wait: a full pipe behind standard output must not stop requests.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer passes lines on to a slow output through a bounded buffer. Lines that
// find it full are dropped and counted, and the number is told in a line of its
// own as soon as there is room again.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	told    uint64 // dropped lines that the output was told of
	done    chan struct{}
	once    sync.Once
}

// bufferedLines is the bound of the buffer: about 400 KB of usual lines, which
// covers a stop of the output of several seconds at 200 lines a second.
const bufferedLines = 1024

// New starts a writer; Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the buffer full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is buffered and ends the writer. No line may be written
// after it.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		w.tellDropped()
		_, _ = w.out.Write(line) // there is no other place to complain to
	}
	w.tellDropped()
}

func (w *Writer) tellDropped() {
	dropped := w.dropped.Load()
	if dropped == w.told {
		return
	}
	_, _ = fmt.Fprintf(w.out, `{"event":1900,"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", dropped-w.told) // as above
	w.told = dropped
}
