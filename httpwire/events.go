package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Event is one complete event of an event stream (text/event-stream).
type Event struct {
	Raw   []byte // including the empty line that ends it; valid until the next call to Next
	ID    int64  // value of its id field
	HasID bool
	Idle  bool // no field: comments or an empty line only
}

// EventReader splits an event stream into complete events. It never returns an event
// that the upstream sent only in part, so that the caller can continue on another
// upstream after the last complete event.
type EventReader struct {
	// Reserve is called before n more bytes of memory are used for a long event, and Release when they no longer
	// are; both nil: any number may be used. An error of Reserve ends the reading.
	Reserve  func(n int64) error
	Release  func()
	r        *bufio.Reader
	limit    int
	raw      []byte
	reserved int
	idle     int // bytes of blank lines and comments since the last field
}

// NewEventReader returns a reader for events of at most limit bytes each.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBufferSize), limit: limit}
}

// maxIdleBytes limits the blank lines and comments between two events with fields, in bytes.
const maxIdleBytes = 16 << 10

// eventBufferSize holds several typical events, which have a few hundred bytes.
const eventBufferSize = 4 << 10

// maxFreeEventBytes is the memory for an event that is not reserved.
const maxFreeEventBytes = 16 << 10

// Next returns the next complete event. The error is io.EOF if the stream ended after
// a complete event and ErrTruncated if it ended within one.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	e.Close()
	event := Event{Idle: true}
	lineStart := 0 // of the current line
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.raw)+len(part) > e.limit {
			return Event{}, excess(http.StatusBadGateway, "an event is larger than the limit")
		}
		if err := e.grow(len(e.raw) + len(part)); err != nil {
			return Event{}, err
		}
		e.raw = append(e.raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, e.streamError(err)
		}
		line := e.raw[lineStart:]
		lineStart = len(e.raw)
		if event.Idle = event.Idle && (isBlank(line) || line[0] == ':'); !event.Idle {
			e.idle = 0
		} else if e.idle += len(line); e.idle > maxIdleBytes {
			return Event{}, excess(http.StatusBadGateway, "blank lines and comments without an event")
		}
		if isBlank(line) {
			event.Raw = e.raw
			return event, nil
		}
		if id, found := eventID(line); found {
			event.ID, event.HasID = id, true
		}
	}
}

// grow makes room for an event of size bytes.
func (e *EventReader) grow(size int) error {
	if size <= cap(e.raw) {
		return nil
	}
	room := min(max(size, eventBufferSize, 2*cap(e.raw)), max(size, e.limit))
	if room > maxFreeEventBytes && e.Reserve != nil {
		if err := e.Reserve(int64(room - e.reserved)); err != nil {
			return err
		}
		e.reserved = room
	}
	e.raw = append(make([]byte, 0, room), e.raw...)
	return nil
}

// Close gives back the memory of a long event, whose bytes must not be used any more.
func (e *EventReader) Close() {
	if e.reserved == 0 {
		return
	}
	e.raw, e.reserved = nil, 0
	if e.Release != nil {
		e.Release()
	}
}

// Buffered reports whether unread bytes are buffered.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

func (e *EventReader) streamError(err error) error {
	if errors.Is(err, io.EOF) && len(e.raw) > 0 {
		return ErrTruncated
	}
	return err
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

func eventID(line []byte) (int64, bool) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
