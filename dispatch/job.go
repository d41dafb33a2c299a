package dispatch

import (
	"time"

	"celeryport/admission"
	"celeryport/request"
	"celeryport/routing"
	"celeryport/verdict"
)

// phase is the state of a job.
type phase uint8

const (
	waiting  phase = iota // queued in its lane
	delayed               // in backoff before a retry
	running               // sent
	finished              // its final action has been emitted
)

// job tracks the progress of one request. Jobs are reused.
type job struct {
	request   *request.Request
	account   *admission.Account
	phase     phase
	ticket    admission.Ticket
	lane      *laneQueue
	class     *class
	send      routing.Send    // the send of a request on a single node
	span      []*routing.Send // the sends of a span, otherwise empty
	placement Placement
	avoid     *routing.Node
	predicted time.Duration // from the send to the first token
	sentAt    time.Time
	resumesAt time.Time // end of the backoff
	charged   float64   // tokens charged as usage
	attempts  int
	probe     bool
	awaiting  bool // the first token of the send has not come
	// mayHaveRun is set if an earlier send may have run. A later refusal must
	// carry that verdict: a refusal that says "not run" would let the caller
	// repeat a request that already had an effect.
	mayHaveRun bool
	position   int // 1-based index in the heap of deadlines
}

// overallVerdict returns the verdict over all sends, given that of the last one.
func (j *job) overallVerdict(last verdict.Verdict) verdict.Verdict {
	if last == verdict.NotRun && j.mayHaveRun {
		return verdict.MayHaveRun
	}
	return last
}

// settleLateness records that no first token of the send is awaited any more.
func (j *job) settleLateness(now time.Time) {
	if j.awaiting {
		j.awaiting = false
		j.lane.lateness.settle(now)
	}
}

func (j *job) tokens() int { return j.request.Tokens() }

// lead returns the send that computes the answer.
func (j *job) lead() *routing.Send {
	for _, s := range j.span {
		if s.Lead {
			return s
		}
	}
	return &j.send
}
