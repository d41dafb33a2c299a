package bench

import (
	"time"

	"celeryport/request"
	"celeryport/verdict"
)

// requestRecord holds the times and the outcome of one request.
type requestRecord struct {
	request  *request.Request
	arrived  time.Duration
	first    time.Duration // of the first token; 0: no token was produced
	finished time.Duration // 0: not finished
	refused  time.Duration // 0: not refused
	err      *verdict.Error
	answers  int // number of final answers
}

// recorder records the progress of all requests of a run.
type recorder struct {
	byID       map[string]*requestRecord
	unanswered int              // requests without a final answer
	order      []*requestRecord // in the order of arrival
}

func newRecorder() *recorder { return &recorder{byID: map[string]*requestRecord{}} }

func (r *recorder) arrived(now time.Duration, q *request.Request) {
	rec := &requestRecord{request: q, arrived: now}
	r.byID[q.ID] = rec
	r.order = append(r.order, rec)
	r.unanswered++
}

// countAnswer counts a final answer to the request.
func (r *recorder) countAnswer(rec *requestRecord) {
	rec.answers++
	if rec.answers == 1 {
		r.unanswered--
	}
}

func (r *recorder) firstToken(now time.Duration, q *request.Request) {
	if rec := r.byID[q.ID]; rec.first == 0 {
		rec.first = now
	}
}

func (r *recorder) finished(now time.Duration, q *request.Request) {
	rec := r.byID[q.ID]
	rec.finished = now
	r.countAnswer(rec)
}

func (r *recorder) refused(now time.Duration, q *request.Request, err *verdict.Error) {
	rec := r.byID[q.ID]
	rec.refused = now
	r.countAnswer(rec)
	rec.err = err
}
