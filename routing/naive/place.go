package naive

import (
	"sort"
	"time"

	"celeryport/dispatch"
	"celeryport/request"
	"celeryport/upstream"
	"celeryport/verdict"
)

// pump sends requests from the queue until one cannot be placed.
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

// place sends the job to the next upstream in round-robin order, or spreads it
// over several.
func (s *Scheduler) place(j *job) bool {
	fresh := s.fresh(j.request.Target)
	if len(fresh) == 0 {
		return false
	}
	for range fresh {
		s.position++
		u := fresh[s.position%len(fresh)]
		if u.Slots > 0 && s.inFlight[u.Name] >= u.Slots {
			continue
		}
		s.send(j, parts(j.request, fresh, s.position))
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

// parts spreads a request that one engine cannot hold over as many of the next
// ones as needed, using the whole memory of each.
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
		s.inFlight[p.Name]++
	}
	s.actions = append(s.actions, dispatch.Action{
		Kind: dispatch.Send, Request: j.request, Attempt: j.request.Attempt, Placement: j.placement,
	})
}

// endSend marks a job as no longer in flight.
func (s *Scheduler) endSend(j *job) {
	j.running = false
	for _, p := range j.placement.Parts {
		s.inFlight[p.Name]--
	}
}

// abort cancels a job in flight, or removes it from the queue.
func (s *Scheduler) abort(j *job) {
	if j.running {
		s.actions = append(s.actions, dispatch.Action{
			Kind: dispatch.Cancel, Request: j.request, Attempt: j.request.Attempt, Placement: j.placement,
		})
		s.endSend(j)
		return
	}
	for i, other := range s.queue {
		if other == j {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) refuse(j *job, err *verdict.Error) {
	delete(s.jobs, j.request.ID)
	s.actions = append(s.actions, dispatch.Action{
		Kind: dispatch.Refuse, Request: j.request, Attempt: j.request.Attempt, Err: err,
	})
}

// overdue returns the jobs whose deadline has passed, ordered by request ID.
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

// memory returns the total memory of the fresh engines of the target.
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
