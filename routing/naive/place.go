package naive

import (
	"sort"
	"time"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/upstream"
	"celeryport/verdict"
)

// pump sends from the head of the queue until the head finds no place.
func (s *Scheduler) pump(now time.Time) {
	for len(s.queue) > 0 && s.view != nil {
		i := s.firstReady(now)
		if i < 0 || !s.place(s.queue[i]) {
			return
		}
		s.queue = append(s.queue[:i], s.queue[i+1:]...)
	}
}

func (s *Scheduler) firstReady(now time.Time) int {
	for i, j := range s.queue {
		if !now.Before(j.notBefore) {
			return i
		}
	}
	return -1
}

// place sends the job to the next upstream, or spreads it over the next ones.
func (s *Scheduler) place(j *job) bool {
	fresh := s.fresh(j.request.Target)
	if len(fresh) == 0 {
		return false
	}
	for range fresh {
		s.next++
		u := fresh[s.next%len(fresh)]
		if u.Slots > 0 && s.flying[u.Name] >= u.Slots {
			continue
		}
		s.send(j, parts(j.request, fresh, s.next))
		return true
	}
	return false
}

func (s *Scheduler) fresh(target string) []*upstream.Announcement {
	var fresh []*upstream.Announcement
	for _, i := range s.view.Serving(target) {
		if u := &s.view.Upstreams[i]; u.State == upstream.Fresh {
			fresh = append(fresh, &u.Announcement)
		}
	}
	return fresh
}

// parts spreads what one engine can't hold over as many of the next ones as are
// needed, each for all of its memory.
func parts(r *request.Request, fresh []*upstream.Announcement, next int) []dispatch.Part {
	first := fresh[next%len(fresh)]
	if r.Kind == request.ServiceCall || r.Tokens() <= first.MemoryTokens {
		return []dispatch.Part{{Name: first.Name, Incarnation: first.Incarnation, Address: first.Address, Lead: true}}
	}
	var spread []dispatch.Part
	left := r.Tokens()
	for i := 0; left > 0 && i < len(fresh); i++ {
		u := fresh[(next+i)%len(fresh)]
		tokens := min(left, u.MemoryTokens)
		left -= tokens
		spread = append(spread, dispatch.Part{
			Name: u.Name, Incarnation: u.Incarnation, Address: u.Address, Tokens: tokens, Lead: i == 0,
		})
	}
	return spread
}

func (s *Scheduler) send(j *job, parts []dispatch.Part) {
	j.running = true
	j.placement = dispatch.Placement{Parts: parts}
	j.request.Attempt++
	for _, p := range parts {
		s.flying[p.Name]++
	}
	s.actions = append(s.actions, dispatch.Action{
		Kind: dispatch.Send, Request: j.request, Attempt: j.request.Attempt, Placement: j.placement,
	})
}

// land takes a job out of flight.
func (s *Scheduler) land(j *job) {
	j.running = false
	for _, p := range j.placement.Parts {
		s.flying[p.Name]--
	}
}

// drop takes a job out of flight, with a cancel, or out of the queue.
func (s *Scheduler) drop(j *job) {
	if j.running {
		s.actions = append(s.actions, dispatch.Action{
			Kind: dispatch.Cancel, Request: j.request, Attempt: j.request.Attempt, Placement: j.placement,
		})
		s.land(j)
		return
	}
	for i, other := range s.queue {
		if other == j {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) end(j *job, err *verdict.Error) {
	delete(s.jobs, j.request.ID)
	s.actions = append(s.actions, dispatch.Action{
		Kind: dispatch.Refuse, Request: j.request, Attempt: j.request.Attempt, Err: err,
	})
}

// overdue lists the jobs whose deadline has passed, in order of their ids.
func (s *Scheduler) overdue(now time.Time) []*job {
	var due []*job
	for _, j := range s.jobs {
		if !now.Before(j.request.Deadline) {
			due = append(due, j)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].request.ID < due[b].request.ID })
	return due
}

// memory is the memory of all engines of the target.
func (s *Scheduler) memory(target string) int {
	total := 0
	if s.view == nil {
		return 0
	}
	for _, u := range s.fresh(target) {
		total += u.MemoryTokens
	}
	return total
}
