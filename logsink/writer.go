// Package logsink writes log lines without blocking the caller, so that a full pipe
// on standard output can't stall requests.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"celeryport/event"
)

// Writer copies lines to a slow output through a bounded buffer. If the buffer is
// full, lines are dropped and counted, and the count is logged before the next line
// that is written. If the output fails, lines go to a fallback, beginning with an event that says
// since when and why, until the output can be written again; if both fail, lines are dropped.
type Writer struct {
	out      output
	lines    chan []byte
	dropped  atomic.Uint64
	diverted atomic.Uint64
	reported uint64 // dropped lines that were already reported; of run only

	mu        sync.RWMutex
	closed    bool
	waiting   atomic.Int64  // lines that were accepted and not yet written
	closing   chan struct{} // ends run when the buffer is empty
	abandoned atomic.Bool   // Close does not wait any more
	done      chan struct{}
}

// maxBufferedLines is the capacity of the buffer: about 400 KB of typical lines, enough
// for the output to stall for several seconds at 200 lines a second.
const maxBufferedLines = 1024

// closeTimeout bounds how long an output that stalls delays the end of the process.
const closeTimeout = 500 * time.Millisecond

// New starts a writer. Call Close to stop it. The fallback must be safe for concurrent use.
func New(out, fallback io.Writer) *Writer {
	w := &Writer{
		out:     output{stream: out, fallback: fallback},
		lines:   make(chan []byte, maxBufferedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails or blocks. After Close lines are dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.waiting.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost: the buffer was full, no output could be
// written, or the output stalled at the end.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Diverted returns the number of lines that were written to the fallback.
func (w *Writer) Diverted() uint64 { return w.diverted.Load() }

// Close flushes the buffer and stops the writer. If the output stalls, Close gives up after a
// while, counts what was not written as dropped, and logs the number on the fallback.
func (w *Writer) Close() {
	w.mu.Lock()
	first := !w.closed
	w.closed = true
	w.mu.Unlock()
	if first {
		close(w.closing)
	}
	if w.finishes(w.done) || !w.abandoned.CompareAndSwap(false, true) {
		return
	}
	lines := w.waiting.Load()
	w.dropped.Add(uint64(max(lines, 0)))
	told := make(chan struct{})
	go func() {
		defer close(told)
		_, _ = w.out.fallback.Write(render(eventUnwritten, event.Fields{"lines": lines})) // there is no other place
	}()
	w.finishes(told)
}

// finishes waits for done, for a bounded time.
func (w *Writer) finishes(done <-chan struct{}) bool {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes what is buffered, unless Close has given up.
func (w *Writer) flush() {
	for !w.abandoned.Load() {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.reportDropped()
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	w.reportDropped()
	w.count(w.out.write(line))
	w.waiting.Add(-1)
}

func (w *Writer) count(r result) {
	switch r {
	case diverted:
		w.diverted.Add(1)
	case failed:
		w.dropped.Add(1)
	}
}

func (w *Writer) reportDropped() {
	dropped := w.dropped.Load()
	if dropped == w.reported {
		return
	}
	if w.out.write(render(eventDropped, event.Fields{"lines": dropped - w.reported})) != failed {
		w.reported = dropped
	}
}
