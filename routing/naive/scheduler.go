// Package naive is the baseline that the production policy is measured against:
// round robin over the upstreams, one queue in order of arrival, no length
// classes, no priorities, retries on any error.
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

// maxAttempts bounds the attempts of a request, so that one which always fails
// ends.
const maxAttempts = 10

// retryPause is the constant backoff before a retry.
const retryPause = 100 * time.Millisecond

// Scheduler implements dispatch.Dispatcher.
type Scheduler struct {
	view            *upstream.Snapshot
	position        int            // round-robin position
	inFlight        map[string]int // requests in flight by upstream name
	queue           []*job
	jobs            map[string]*job
	actions         []dispatch.Action
	actionsReturned bool
}

// job tracks the progress of one request.
type job struct {
	request   *request.Request
	placement dispatch.Placement
	running   bool
	notBefore time.Time
}

var _ dispatch.Dispatcher = (*Scheduler)(nil)

// New returns the baseline policy.
func New() *Scheduler {
	return &Scheduler{inFlight: map[string]int{}, jobs: map[string]*job{}}
}

// Configure implements dispatch.Dispatcher; the baseline has no settings.
func (s *Scheduler) Configure(time.Time, *settings.Tree) {}

// ApplyGrants implements dispatch.Dispatcher; the baseline has no limits.
func (s *Scheduler) ApplyGrants(time.Time, []quota.Grant) {}

// Demands implements dispatch.Dispatcher.
func (s *Scheduler) Demands(time.Time) []quota.Demand { return nil }

// OutlierChanges implements dispatch.Dispatcher; the baseline ejects no upstreams.
func (s *Scheduler) OutlierChanges() []dispatch.OutlierChange { return nil }

// Observe implements dispatch.Dispatcher.
func (s *Scheduler) Observe(now time.Time, view *upstream.Snapshot) {
	s.begin()
	s.view = view
	s.pump(now)
}

// Offer implements dispatch.Dispatcher. It refuses only requests that exceed
// the memory of all fresh engines.
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

// Finish implements dispatch.Dispatcher. It retries after any failure.
func (s *Scheduler) Finish(now time.Time, id string, outcome dispatch.Outcome) {
	s.begin()
	j := s.jobs[id]
	if j == nil || !j.running {
		return
	}
	s.endSend(j)
	if outcome.Err == nil {
		delete(s.jobs, id)
		s.pump(now)
		return
	}
	spread := len(j.placement.Parts) > 1
	if !spread && j.request.Attempt >= maxAttempts {
		s.refuse(j, outcome.Err)
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
	s.abort(j)
	delete(s.jobs, id)
	s.pump(now)
}

// Tick implements dispatch.Dispatcher. It fails requests whose deadline has
// passed.
func (s *Scheduler) Tick(now time.Time) {
	s.begin()
	for _, j := range s.overdue(now) {
		running := j.running
		s.abort(j)
		if running {
			s.refuse(j, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "the deadline passed"))
		} else {
			s.refuse(j, verdict.Refuse(verdict.ReasonDeadline, time.Second, "the deadline passed"))
		}
	}
	s.pump(now)
}

// NextTick implements dispatch.Dispatcher.
func (s *Scheduler) NextTick(now time.Time) time.Time { return now.Add(retryPause) }

// Actions implements dispatch.Dispatcher.
func (s *Scheduler) Actions() []dispatch.Action {
	s.begin()
	s.actionsReturned = true
	return s.actions
}

func (s *Scheduler) begin() {
	if s.actionsReturned {
		s.actions = s.actions[:0]
		s.actionsReturned = false
	}
}
