package dispatch

import (
	"time"

	"celeryport/admission"
	"celeryport/request"
	"celeryport/routing"
	"celeryport/verdict"
)

// phase is where a job stands.
type phase uint8

const (
	waiting  phase = iota // in the queue of its lane
	delayed               // waits for its backoff
	running               // sent
	finished              // its final action was given
)

// job is one request with its progress. Jobs are reused.
type job struct {
	request   *request.Request
	account   *admission.Account
	phase     phase
	ticket    admission.Ticket
	lane      *laneQueue
	class     *class
	send      routing.Send    // the send of an undivided request
	span      []*routing.Send // the sends of a span, else empty
	placement Placement
	avoid     *routing.Node
	predicted time.Duration // from the send to the first token
	sentAt    time.Time
	resumesAt time.Time // end of the backoff
	charged   float64   // tokens that were counted as usage
	attempts  int
	probe     bool
	// An earlier send may have run. A later refusal must say so: the caller of
	// a request that was sent twice may not be told that it was not run.
	mayHaveRun bool
	position   int // in the heap of deadlines, from 1
}

// worst is the verdict over all sends, given that of the last one.
func (j *job) worst(last verdict.Verdict) verdict.Verdict {
	if last == verdict.NotRun && j.mayHaveRun {
		return verdict.MayHaveRun
	}
	return last
}

func (j *job) tokens() int { return j.request.Tokens() }

// lead is the send that computes the answer.
func (j *job) lead() *routing.Send {
	for _, s := range j.span {
		if s.Lead {
			return s
		}
	}
	return &j.send
}
