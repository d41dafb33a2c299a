package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"celeryport/arbiter"
	"celeryport/clock"
	"celeryport/datagram"
)

// arbitration is this instance's part in placing long prompts: it asks the arbiter of a service
// to place its own prompts, and places those of all instances for the services whose arbiter it
// is.
type arbitration struct {
	mu           sync.Mutex
	conn         net.PacketConn                 // nil until ShareLoads runs
	queue        *arbiter.Queue                 // asks received as the arbiter
	askers       map[string]net.Addr            // address for the answer by ask ID; nil: an ask of this instance
	pending      map[string]chan arbiter.Answer // channels of this instance's own asks by ID
	unresponsive map[string]time.Time           // instances that did not answer, and until when they are skipped
	waiting      chan struct{}                  // signals that an ask waits for an engine
}

const (
	// askResendInterval is how often an unanswered ask is repeated; one datagram takes a few
	// milliseconds.
	askResendInterval = 40 * time.Millisecond
	// maxSilentResends is the number of consecutive unanswered sends of an ask after which the
	// arbiter counts as unresponsive.
	maxSilentResends = 3
	// unresponsiveFor is how long an instance that did not answer is skipped. Control detects a
	// dead instance within that time.
	unresponsiveFor = 3 * time.Second
	// declinedFor is how long an instance that declined to place prompts is skipped: it may be able
	// to again as soon as its paths to the engines are back.
	declinedFor = time.Second
	// maxDeclines is how many instances may decline, which takes a round trip each, before this one
	// places the prompt itself: most of an availability zone may be cut off from the engines.
	maxDeclines = 6
	// maxArbiters is how many instances may be silent before this one places the prompt itself: a
	// quarter of a second at most, a sixteenth of the objective of long prompts.
	maxArbiters = 2
	// arbitrationTick is how often waiting asks are checked again.
	arbitrationTick = 10 * time.Millisecond
	// answerBuffer is the number of unread answers that an own ask buffers.
	answerBuffer = 4
	// grantRetention is how long a grant is counted here until the load reports of the asking
	// instance include it: three times the sum of the pause before a report and the
	// transmission time.
	grantRetention = 50 * time.Millisecond
	// grantRetentionPerInstance is added to grantRetention for each instance of the fleet: three
	// times its part of the pause before a zone's aggregated report.
	grantRetentionPerInstance = 3 * aggregatePausePerInstance
)

// grantRetentionFor returns the retention of grants in a fleet with the given number of
// instances.
func grantRetentionFor(instances int) time.Duration {
	return grantRetention + time.Duration(instances)*grantRetentionPerInstance
}

func newArbitration() *arbitration {
	return &arbitration{
		queue:        arbiter.NewQueue(),
		askers:       map[string]net.Addr{},
		pending:      map[string]chan arbiter.Answer{},
		unresponsive: map[string]time.Time{},
		waiting:      make(chan struct{}, 1),
	}
}

// handleAsk queues an ask and answers it if a decision is available. Otherwise it confirms to
// the asking instance that the ask waits.
func (s *Server) handleAsk(from net.Addr, ask *arbiter.Request) {
	a := s.arbitration
	a.mu.Lock()
	answer := a.queue.Accept(time.Now(), ask)
	_, known := a.askers[ask.ID]
	if answer == nil {
		a.askers[ask.ID] = from
	}
	a.mu.Unlock()
	if answer == nil && !known {
		s.watchShares(ask.Organisation)
		s.applyAskOutcome(from, ask)
	}
	if answer != nil {
		s.sendAnswer(from, answer)
		return
	}
	s.placeWaiting()
	a.mu.Lock()
	_, waiting := a.askers[ask.ID]
	a.mu.Unlock()
	if waiting {
		wake(a.waiting)
		s.sendAnswer(from, &arbiter.Answer{ID: ask.ID, Decision: arbiter.Waiting})
	}
}

// applyAskOutcome applies what a new ask reveals about the previous ask of the same call.
func (s *Server) applyAskOutcome(from net.Addr, ask *arbiter.Request) {
	if ask.Previous != "" {
		s.fleet.revokeGrant(ask.Previous)
	}
	if from != nil {
		s.fleet.applyHelpRefusals(ask)
	}
}

func (s *Server) sendAnswer(to net.Addr, answer *arbiter.Answer) {
	if to == nil {
		s.handleAnswer(answer)
		return
	}
	s.sendSealed(to, datagram.ArbiterAnswer, answer)
}

// placeWaiting places waiting asks as far as engines are free.
func (s *Server) placeWaiting() {
	a := s.arbitration
	a.mu.Lock()
	now := time.Now()
	answers := a.queue.Step(now, &arbiterFleetSource{server: s, now: now})
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

// arbitrate calls placeWaiting at intervals while asks wait, until ctx ends.
func (s *Server) arbitrate(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.arbitration.waiting:
		}
		for s.arbitration.hasWaiting() {
			if !clock.Pause(ctx, arbitrationTick) {
				return
			}
			s.placeWaiting()
		}
	}
}

func (a *arbitration) hasWaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.HasPending()
}
