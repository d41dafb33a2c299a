package resume

import "github.com/cockroachdb/errors"

// Errors of a run that does not belong to the stream.
var (
	ErrNoContinuation = errors.New("the answer does not go on with the stream")
	ErrGap            = errors.New("the events of the answer do not follow each other")
	ErrRepeated       = errors.New("the upstream sends events again")
	ErrUnplaced       = errors.New("the place of an event without an ID is unknown")
	ErrEndsBefore     = errors.New("the answer ends before the last event that the caller has")
)

// maxRepeatedBytes bounds the events that the caller of a call has already and that upstreams send again.
const maxRepeatedBytes = 4 << 20

// Stream is the part of a stream that its caller has. The zero value is a stream from its start.
type Stream struct {
	first    Head
	begun    bool // the caller has an event of this answer
	last     int64
	known    bool // last is the ID of the last event that the caller has
	repeated int  // bytes
	run      run
}

// run is the present run of the call.
type run struct {
	head   Head
	joins  bool  // the answer had begun before
	passed bool  // the caller has got an event of it
	last   int64 // ID of its last event that has one
	known  bool  // it has sent an event with an ID
}

// After returns a stream whose caller has the events up to one with an ID. begun means that it has some of this answer,
// through another instance.
func After(last int64, known, begun bool) Stream {
	return Stream{first: usualHead, begun: begun, last: last, known: known}
}

// First returns the head of the run with which the caller's answer began.
func (s *Stream) First() Head { return s.first }

// BeganWith states the head of the run with which the caller's answer began, through another instance.
func (s *Stream) BeganWith(h Head) { s.first = h }

// Last returns the ID of the last event that the caller has; false: the call starts from the beginning.
func (s *Stream) Last() (int64, bool) { return s.last, s.known }

// Resumable reports whether another run can go on where the caller is.
func (s *Stream) Resumable() bool { return s.known || !s.begun }

// Start begins a run. An error means that it does not go on with the stream.
func (s *Stream) Start(h Head) error {
	s.run = run{head: h, joins: s.begun}
	if !s.begun {
		return nil
	}
	if !s.known {
		return errors.Wrap(ErrNoContinuation, "the caller has events without IDs")
	}
	return h.continues(s.first)
}

// Event is an event of a run.
type Event struct {
	ID    int64
	HasID bool
	Size  int // in bytes
}

// Accept reports whether an event is the next one for the caller, who may have it already. An error means that the run
// fails.
func (s *Stream) Accept(e Event) (bool, error) {
	if !e.HasID {
		return s.acceptUnidentified(e.Size)
	}
	if s.run.known && e.ID <= s.run.last {
		return false, errors.Wrapf(ErrRepeated, "event %d after event %d", e.ID, s.run.last)
	}
	s.run.last, s.run.known = e.ID, true
	switch {
	case s.known && e.ID <= s.last:
		return false, s.skip(e.Size)
	case s.known && e.ID != s.last+1:
		return false, errors.Wrapf(ErrGap, "event %d, the caller has event %d", e.ID, s.last)
	}
	s.last, s.known = e.ID, true
	s.begin()
	return true, nil
}

// acceptUnidentified is Accept for an event without an ID.
func (s *Stream) acceptUnidentified(size int) (bool, error) {
	switch {
	case s.run.known && s.run.last < s.last:
		return false, s.skip(size)
	case s.run.joins && !s.run.passed:
		return false, ErrUnplaced
	}
	s.begin()
	return true, nil
}

// skip counts an event that the caller has.
func (s *Stream) skip(size int) error {
	if s.repeated += size; s.repeated > maxRepeatedBytes {
		return errors.Wrapf(ErrRepeated, "more than %d bytes that the caller has", maxRepeatedBytes)
	}
	return nil
}

// begin records that the caller gets an event of the run.
func (s *Stream) begin() {
	s.run.passed = true
	if !s.begun {
		s.begun, s.first = true, s.run.head
	}
}

// End returns why a run that ended in order does not end the stream, nil if it does.
func (s *Stream) End() error {
	if s.run.known && s.run.last < s.last {
		return errors.Wrapf(ErrEndsBefore, "at event %d, the caller has event %d", s.run.last, s.last)
	}
	return nil
}
