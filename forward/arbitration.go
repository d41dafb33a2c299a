package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"celeryport/arbiter"
	"celeryport/datagram"
)

// arbitration is this instance's part in the placing of long prompts: it asks for
// its own, and decides for all when that falls to it.
type arbitration struct {
	mu         sync.Mutex
	conn       net.PacketConn                 // nil until the instance shares its loads
	queue      *arbiter.Queue                 // of the asks that come here
	askers     map[string]net.Addr            // where the answer to an ask goes; nil: to this instance
	own        map[string]chan arbiter.Answer // asks of this instance
	distrusted map[string]time.Time           // instances that did not answer, until when they are passed over
}

const (
	// askResend is how often an ask is repeated; one datagram takes a few milliseconds.
	askResend = 40 * time.Millisecond
	// silentResends is how many repeats without an answer say that the arbiter is gone.
	silentResends = 3
	// distrustFor is how long an instance that did not answer is passed over. Control
	// notices a dead one within that time.
	distrustFor = 3 * time.Second
	// arbitersTried is how many instances are asked before this one decides alone: a
	// quarter of a second at most, a sixteenth of the objective of long prompts.
	arbitersTried = 2
	// arbitrationTick is how often the asks that wait are looked at again.
	arbitrationTick = 10 * time.Millisecond
	// answersUnread is how many words of the arbiter may wait to be read.
	answersUnread = 4
	// grantKept is how long what was given away is counted here, until the one who
	// asked tells of it: the pause before a report and the way, three times over.
	grantKept = 50 * time.Millisecond
	// grantKeptEach is what each instance of the fleet adds to it: the pause of the one
	// who tells it to the other zones, as many times over.
	grantKeptEach = 3 * aggregatePauseEach
)

// grantsKept is how long what was given away is counted in a fleet of so many instances.
func grantsKept(instances int) time.Duration {
	return grantKept + time.Duration(instances)*grantKeptEach
}

func newArbitration() *arbitration {
	return &arbitration{
		queue:      arbiter.NewQueue(),
		askers:     map[string]net.Addr{},
		own:        map[string]chan arbiter.Answer{},
		distrusted: map[string]time.Time{},
	}
}

// takeAsk takes in an ask, answers it if there is an answer, and lets the asker
// know otherwise that it is heard.
func (s *Server) takeAsk(from net.Addr, ask *arbiter.Request) {
	a := s.arbitration
	a.mu.Lock()
	answer := a.queue.Accept(time.Now(), ask)
	_, known := a.askers[ask.ID]
	if answer == nil {
		a.askers[ask.ID] = from
	}
	a.mu.Unlock()
	if answer == nil && !known {
		s.takeOutcome(from, ask)
	}
	if answer != nil {
		s.sendAnswer(from, answer)
		return
	}
	s.decide()
	a.mu.Lock()
	_, waits := a.askers[ask.ID]
	a.mu.Unlock()
	if waits {
		s.sendAnswer(from, &arbiter.Answer{ID: ask.ID, Decision: arbiter.Waiting})
	}
}

// takeOutcome learns from a new ask what became of the one before it.
func (s *Server) takeOutcome(from net.Addr, ask *arbiter.Request) {
	if ask.Previous != "" {
		s.fleet.voidGrant(ask.Previous)
	}
	if from != nil {
		s.fleet.refusedHelpElsewhere(ask.Refused)
	}
}

func (s *Server) sendAnswer(to net.Addr, answer *arbiter.Answer) {
	if to == nil {
		s.takeAnswer(answer)
		return
	}
	s.sendSealed(to, datagram.Answer, answer)
}

// decide gives places to asks that wait, as far as engines are free.
func (s *Server) decide() {
	a := s.arbitration
	a.mu.Lock()
	now := time.Now()
	answers := a.queue.Step(now, &arbiterWorld{server: s, now: now})
	to := make([]net.Addr, len(answers))
	for i, answer := range answers {
		to[i] = a.askers[answer.ID]
		delete(a.askers, answer.ID)
	}
	if !a.queue.HasPending() {
		clear(a.askers)
	}
	a.mu.Unlock()
	for i, answer := range answers {
		s.sendAnswer(to[i], answer)
	}
}

// arbitrate decides again and again while asks wait, until ctx ends.
func (s *Server) arbitrate(ctx context.Context) {
	ticker := time.NewTicker(arbitrationTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.arbitration.mu.Lock()
		waits := s.arbitration.queue.HasPending()
		s.arbitration.mu.Unlock()
		if waits {
			s.decide()
		}
	}
}
