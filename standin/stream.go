package standin

import (
	"time"

	"celeryport/standin/answer"
)

// stream is one request on the engine, from its submission until its whole
// answer was sent or it was ended. Its fields belong to the scheduler's lock.
type stream struct {
	call
	job          string // id in the engine model, from the attempt that submitted it
	model        string
	hash         uint64 // of the prompt
	promptTokens int
	maxTokens    int
	deadline     time.Time // zero: none

	ready     int // answer tokens that the engine has made
	cached    int
	finished  bool   // all tokens are made, the memory is free
	delivered bool   // the final frame was sent to a reader
	ended     Ending // empty while it can be read

	reader     uint64    // number of the present reader; an older one has lost its place
	unreadFrom time.Time // when the reader was lost, zero while there is one
	changed    chan struct{}
}

// broadcast wakes whoever waits for a change.
func (s *stream) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// text returns the answer tokens from..to.
func (s *stream) text(from, to int) []byte {
	return answer.Append(nil, s.hash, from, to)
}

// view is what a reader needs to know of its stream.
type view struct {
	ready    int
	cached   int
	finished bool
	ended    Ending
	replaced bool // another reader has taken over
	changed  <-chan struct{}
}
