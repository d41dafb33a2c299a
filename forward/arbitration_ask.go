package forward

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"celeryport/arbiter"
	"celeryport/datagram"
	"celeryport/event"
	"celeryport/forward/telemetry"
	"celeryport/loadshare"
	"celeryport/membership"
)

// arbiterOf returns the arbiter of a service: of the live instances that have not failed to
// answer, the one with the highest hash of its name and the service's. All instances compute the
// same one without communication. It is nil when there is none.
func (s *Server) arbiterOf(now time.Time, service string) *membership.Instance {
	return firstArbiter(s.options.Plane.View().Instances, service, func(name string) bool {
		return now.Before(s.arbitration.unresponsive[name])
	})
}

// firstArbiter returns the arbiter of a service among the instances for which skip returns
// false.
func firstArbiter(instances []membership.Instance, service string, skip func(name string) bool) *membership.Instance {
	key := loadshare.KeyOf(service)
	var best *membership.Instance
	var most uint64
	for i := range instances {
		candidate := &instances[i]
		if candidate.Address == "" || candidate.State == membership.Gone || skip != nil && skip(candidate.Name) {
			continue
		}
		if weight := rendezvousWeight(candidate.Name, key); best == nil || weight > most {
			best, most = candidate, weight
		}
	}
	return best
}

// askArbiter asks the arbiter to place a prompt, and returns its answer and name. The last result
// is false when no arbiter answers; a nil answer with true means that the caller has left.
func (s *Server) askArbiter(ctx context.Context, service string, ask func() *arbiter.Request) (*arbiter.Answer, string, bool) {
	a := s.arbitration
	answers := make(chan arbiter.Answer, answerBuffer)
	id := ask().ID
	a.mu.Lock()
	a.pending[id] = answers
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.pending, id)
		a.mu.Unlock()
	}()
	for silent, declined := 0, 0; silent < maxArbiters && declined < maxDeclines; {
		a.mu.Lock()
		chosen := s.arbiterOf(time.Now(), service)
		a.mu.Unlock()
		if chosen == nil {
			return nil, "", false
		}
		answer, responded := s.askInstance(ctx, chosen, ask, answers)
		if answer == nil && responded { // the caller has left
			s.withdrawAsk(chosen, id)
			return nil, chosen.Name, true
		}
		if responded && answer.Decision != arbiter.Unknown {
			return answer, chosen.Name, true
		}
		skipFor := unresponsiveFor
		if responded {
			declined++
			skipFor = declinedFor
		} else {
			silent++
		}
		a.mu.Lock()
		a.unresponsive[chosen.Name] = time.Now().Add(skipFor)
		a.mu.Unlock()
		if responded {
			continue
		}
		s.withdrawAsk(chosen, id)
		eventArbiterSilent.Log(s.options.Log, event.Fields{"call": id, "arbiter": chosen.Name, "address": chosen.ControlAddress})
	}
	return nil, "", false
}

// askInstance sends an ask to one instance until it answers. The last result is false when the
// instance does not respond.
func (s *Server) askInstance(ctx context.Context, chosen *membership.Instance, ask func() *arbiter.Request, answers chan arbiter.Answer) (*arbiter.Answer, bool) {
	ticker := time.NewTicker(askResendInterval)
	defer ticker.Stop()
	for unanswered := 0; unanswered < maxSilentResends; unanswered++ {
		s.sendAsk(chosen, ask())
		answer, responded := awaitAnswer(ctx, ticker.C, answers)
		if ctx.Err() != nil {
			return nil, true
		}
		if answer != nil {
			return answer, true
		}
		if responded {
			unanswered = -1
		}
	}
	return nil, false
}

// awaitAnswer waits for the answer until the next tick. The last result reports whether the
// arbiter has at least confirmed that the ask waits.
func awaitAnswer(ctx context.Context, tick <-chan time.Time, answers chan arbiter.Answer) (*arbiter.Answer, bool) {
	responded := false
	for {
		select {
		case <-ctx.Done():
			return nil, responded
		case <-tick:
			return nil, responded
		case answer := <-answers:
			if answer.Decision != arbiter.Waiting {
				return &answer, true
			}
			responded = true
		}
	}
}

func (s *Server) sendAsk(chosen *membership.Instance, ask *arbiter.Request) {
	if chosen.Name == s.options.Process.Name {
		s.handleAsk(nil, ask)
		return
	}
	to, err := netip.ParseAddrPort(chosen.ControlAddress)
	if err != nil {
		return // treated like a lost datagram: after the time-out another instance is asked
	}
	s.sendSealed(net.UDPAddrFromAddrPort(to), datagram.ArbiterRequest, ask)
}

// sendSealed sends a message on a best-effort basis; the asking instance repeats an ask that
// gets no answer.
func (s *Server) sendSealed(to net.Addr, kind datagram.Kind, message any) {
	s.arbitration.mu.Lock()
	conn := s.arbitration.conn
	s.arbitration.mu.Unlock()
	content, err := json.Marshal(message)
	if conn == nil || err != nil {
		return // treated like a lost datagram
	}
	data := datagram.Seal(s.options.Process.InstanceKey, kind, content)
	s.options.Metrics.Datagrams(kind, telemetry.DatagramSent, 1, len(data))
	_, _ = conn.WriteTo(data, to) // best effort
}

// handleAnswer delivers an answer to the call that waits for it. A late answer is dropped
// because its call has been placed without it.
func (s *Server) handleAnswer(answer *arbiter.Answer) {
	a := s.arbitration
	a.mu.Lock()
	waiting := a.pending[answer.ID]
	a.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- *answer:
	default: // the buffer is full of unread answers; the repeated ask is answered again
	}
}
