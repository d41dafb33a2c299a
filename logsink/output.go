package logsink

import (
	"bytes"
	"io"
	"time"

	"celeryport/event"
)

// retryInterval is how long an output that failed is not tried again: what fails for good, such as a
// pipe without a reader, costs little then, and a full disk that has room again is found soon.
const retryInterval = time.Second

// output writes lines to a stream, and to a fallback while that fails. It is used by one goroutine.
type output struct {
	stream, fallback io.Writer

	lost     bool
	since    time.Time // when the stream was lost
	retryAt  time.Time
	partial  bool // the stream ends within a line
	diverted uint64
}

// result is what became of a line.
type result int

const (
	written result = iota
	diverted
	failed
)

func (o *output) write(line []byte) result {
	if now := time.Now(); !o.lost || !now.Before(o.retryAt) {
		err := o.writeStream(line)
		if err == nil {
			return written
		}
		o.lose(now, err)
	}
	if _, err := o.fallback.Write(line); err != nil {
		return failed // the caller counts it: there is no output left to log it
	}
	o.diverted++
	return diverted
}

func (o *output) writeStream(line []byte) error {
	if o.lost {
		restored := render(eventOutputRestored, event.Fields{"since": o.since.Format(timeFormat), "lines": o.diverted})
		if o.partial {
			restored = append([]byte("\n"), restored...)
		}
		if err := o.try(restored); err != nil {
			return err
		}
		o.lost, o.diverted = false, 0
	}
	return o.try(line)
}

func (o *output) try(line []byte) error {
	n, err := o.stream.Write(line)
	if n > 0 {
		o.partial = n < len(line)
	}
	return err
}

// lose records that the stream failed, and logs the first failure.
func (o *output) lose(now time.Time, err error) {
	o.retryAt = now.Add(retryInterval)
	if o.lost {
		return
	}
	o.lost, o.since = true, now
	// A fallback that fails, too, shows with the line that follows.
	_, _ = o.fallback.Write(render(eventOutputLost, event.Fields{"error": err, "since": now.Format(timeFormat)}))
}

// render returns the line of an event.
func render(e *event.Event, fields event.Fields) []byte {
	var line bytes.Buffer
	e.Log(NewLogger(&line, "info"), fields)
	return line.Bytes()
}
