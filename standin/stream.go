package standin

import (
	"time"

	"celeryport/standin/answer"
)

// stream is one request on the engine, from its submission until the resume window
// after its complete answer has passed or it is ended earlier. Its fields are
// protected by the lock of the scheduler.
type stream struct {
	call
	job          string // id in the engine model, built from the attempt that submitted the job
	model        string
	hash         uint64 // hash of the prompt
	promptTokens int
	maxTokens    int
	deadline     time.Time // zero: none

	ready     int // number of answer tokens available, counted from offset 0
	cached    int
	finished  bool   // all tokens are generated and the memory is free
	delivered bool   // the final frame was sent to a reader
	ended     Ending // empty while the stream can be read

	reader      uint64    // number of the current reader; readers with lower numbers are replaced
	unreadSince time.Time // when the reader disconnected; zero while there is one
	changed     chan struct{}
}

// broadcast wakes all goroutines that wait for a change.
func (s *stream) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// text returns the answer tokens with offsets in [from, to).
func (s *stream) text(from, to int) []byte {
	return answer.Append(nil, s.hash, from, to)
}

// view is the state of a stream as needed by a reader.
type view struct {
	ready    int
	cached   int
	finished bool
	ended    Ending
	replaced bool // another reader has taken over
	changed  <-chan struct{}
}
