package bench

import (
	"time"

	"celeryport/request"
	"celeryport/verdict"
)

// life is what became of one request.
type life struct {
	request  *request.Request
	arrived  time.Duration
	first    time.Duration // 0: no token came
	finished time.Duration // 0: not
	refused  time.Duration // 0: not
	err      *verdict.Error
	ends     int // final answers
}

// record follows all requests of a run.
type record struct {
	lives map[string]*life
	open  int // requests without a final answer
	order []*life
}

func newRecord() *record { return &record{lives: map[string]*life{}} }

func (r *record) arrived(now time.Duration, q *request.Request) {
	l := &life{request: q, arrived: now}
	r.lives[q.ID] = l
	r.order = append(r.order, l)
	r.open++
}

// end counts a final answer.
func (r *record) end(l *life) {
	l.ends++
	if l.ends == 1 {
		r.open--
	}
}

func (r *record) firstToken(now time.Duration, q *request.Request) {
	if l := r.lives[q.ID]; l.first == 0 {
		l.first = now
	}
}

func (r *record) finished(now time.Duration, q *request.Request) {
	l := r.lives[q.ID]
	l.finished = now
	r.end(l)
}

func (r *record) refused(now time.Duration, q *request.Request, err *verdict.Error) {
	l := r.lives[q.ID]
	l.refused = now
	r.end(l)
	l.err = err
}
