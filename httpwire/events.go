package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Event is one whole event of an event stream (text/event-stream).
type Event struct {
	Raw   []byte // with the empty line that ends it; valid until the next call
	ID    int64  // value of its id field
	HasID bool
}

// EventReader splits an event stream into whole events. What an upstream sent of
// an event before it broke off is never given out: its caller may go on at
// another upstream after the last whole event.
type EventReader struct {
	r     *bufio.Reader
	limit int
	raw   []byte
}

// NewEventReader reads events of at most limit bytes each.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBuffer), limit: limit}
}

// eventBuffer holds a usual event of some hundred bytes several times over.
const eventBuffer = 4 << 10

// Next returns the next whole event. io.EOF says that the stream ended after a
// whole event; ErrTruncated that it ended within one.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	var event Event
	begin := 0 // of the present line
	for {
		part, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > e.limit {
			return Event{}, &Error{Status: http.StatusBadGateway, Message: "an event is larger than the limit"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, e.ended(err)
		}
		line := e.raw[begin:]
		begin = len(e.raw)
		if isBlank(line) {
			event.Raw = e.raw
			return event, nil
		}
		if id, found := eventID(line); found {
			event.ID, event.HasID = id, true
		}
	}
}

// Buffered reports whether more bytes have arrived already.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

func (e *EventReader) ended(err error) error {
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
