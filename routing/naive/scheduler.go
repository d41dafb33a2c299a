// Package naive is the baseline that every claim of the production policy is
// measured against: round robin over the upstreams, one queue in order of
// arrival, no length classes, no priorities, retry on any error.
package naive

import (
	"time"

	"celeryport/dispatch"
	"celeryport/quota"
	"celeryport/request"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/verdict"
)

// maxAttempts bounds the retries, so that a request which always fails ends.
const maxAttempts = 10

// retryPause is the constant wait before a retry.
const retryPause = 100 * time.Millisecond

// Scheduler implements dispatch.Dispatcher.
type Scheduler struct {
	view    *upstream.Snapshot
	next    int            // round robin position
	flying  map[string]int // requests in flight by upstream name
	queue   []*job
	jobs    map[string]*job
	actions []dispatch.Action
	taken   bool
}

// job is one request with its progress.
type job struct {
	request   *request.Request
	placement dispatch.Placement
	running   bool
	notBefore time.Time
}

var _ dispatch.Dispatcher = (*Scheduler)(nil)

// New returns the baseline policy.
func New() *Scheduler {
	return &Scheduler{flying: map[string]int{}, jobs: map[string]*job{}}
}

// Configure implements dispatch.Dispatcher; the baseline has no settings.
func (s *Scheduler) Configure(time.Time, *settings.Tree) {}

// Granted implements dispatch.Dispatcher; the baseline has no limits.
func (s *Scheduler) Granted(time.Time, []quota.Grant) {}

// Demands implements dispatch.Dispatcher.
func (s *Scheduler) Demands(time.Time) []quota.Demand { return nil }

// Observe implements dispatch.Dispatcher.
func (s *Scheduler) Observe(now time.Time, view *upstream.Snapshot) {
	s.begin()
	s.view = view
	s.pump(now)
}

// Offer implements dispatch.Dispatcher. Only what no upstream can ever hold is
// refused at once.
func (s *Scheduler) Offer(now time.Time, r *request.Request) {
	s.begin()
	if r.Kind == request.Prompt && r.Tokens() > s.memory(r.Target) {
		err := verdict.Refuse(verdict.ReasonTooLong, 0, "no engines hold %d tokens", r.Tokens())
		s.actions = append(s.actions, dispatch.Action{Kind: dispatch.Refuse, Request: r, Err: err})
		return
	}
	j := &job{request: r}
	s.jobs[r.ID] = j
	s.queue = append(s.queue, j)
	s.pump(now)
}

// FirstToken implements dispatch.Dispatcher.
func (s *Scheduler) FirstToken(time.Time, string) {}

// Finish implements dispatch.Dispatcher. Any failure is tried again.
func (s *Scheduler) Finish(now time.Time, id string, outcome dispatch.Outcome) {
	s.begin()
	j := s.jobs[id]
	if j == nil || !j.running {
		return
	}
	s.land(j)
	if outcome.Err == nil {
		delete(s.jobs, id)
		s.pump(now)
		return
	}
	spread := len(j.placement.Parts) > 1
	if !spread && j.request.Attempt >= maxAttempts {
		s.end(j, outcome.Err)
	} else {
		j.notBefore = now.Add(retryPause)
		s.queue = append(s.queue, j)
	}
	s.pump(now)
}

// Withdraw implements dispatch.Dispatcher.
func (s *Scheduler) Withdraw(now time.Time, id string) {
	s.begin()
	j := s.jobs[id]
	if j == nil {
		return
	}
	s.drop(j)
	delete(s.jobs, id)
	s.pump(now)
}

// Tick implements dispatch.Dispatcher: requests whose deadline passed fail.
func (s *Scheduler) Tick(now time.Time) {
	s.begin()
	for _, j := range s.overdue(now) {
		running := j.running
		s.drop(j)
		if running {
			s.end(j, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "the deadline passed"))
		} else {
			s.end(j, verdict.Refuse(verdict.ReasonDeadline, time.Second, "the deadline passed"))
		}
	}
	s.pump(now)
}

// NextTick implements dispatch.Dispatcher.
func (s *Scheduler) NextTick(now time.Time) time.Time { return now.Add(retryPause) }

// Actions implements dispatch.Dispatcher.
func (s *Scheduler) Actions() []dispatch.Action {
	s.begin()
	s.taken = true
	return s.actions
}

func (s *Scheduler) begin() {
	if s.taken {
		s.actions = s.actions[:0]
		s.taken = false
	}
}
