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
	"celeryport/loadshare"
	"celeryport/membership"
)

// arbiterOf returns the instance that decides for the long prompts of a service:
// the one with the highest hash of both names that lives and has not failed to answer. All
// instances agree on it without asking each other. It is nil when there is none.
func (s *Server) arbiterOf(now time.Time, service string) *membership.Instance {
	return firstArbiter(s.options.Plane.View().Instances, service, func(name string) bool {
		return now.Before(s.arbitration.distrusted[name])
	})
}

// firstArbiter returns the instance that decides for a service among those that are not
// passed over.
func firstArbiter(instances []membership.Instance, service string, passedOver func(name string) bool) *membership.Instance {
	key := loadshare.KeyOf(service)
	var best *membership.Instance
	var most uint64
	for i := range instances {
		candidate := &instances[i]
		if candidate.Address == "" || candidate.State == membership.Gone || passedOver != nil && passedOver(candidate.Name) {
			continue
		}
		if weight := weightFor(candidate.Name, key); best == nil || weight > most {
			best, most = candidate, weight
		}
	}
	return best
}

// askArbiter has a prompt placed. The last return is false when no arbiter answers;
// a nil answer says that the caller has left.
func (s *Server) askArbiter(ctx context.Context, service string, ask func() *arbiter.Request) (*arbiter.Answer, bool) {
	a := s.arbitration
	answers := make(chan arbiter.Answer, answersUnread)
	id := ask().ID
	a.mu.Lock()
	a.own[id] = answers
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.own, id)
		a.mu.Unlock()
	}()
	for range arbitersTried {
		a.mu.Lock()
		chosen := s.arbiterOf(time.Now(), service)
		a.mu.Unlock()
		if chosen == nil {
			return nil, false
		}
		answer, heard := s.askInstance(ctx, chosen, ask, answers)
		if heard {
			return answer, true
		}
		a.mu.Lock()
		a.distrusted[chosen.Name] = time.Now().Add(distrustFor)
		a.mu.Unlock()
		eventArbiterSilent.Log(s.options.Log, event.Fields{"call": id, "arbiter": chosen.Name, "address": chosen.ControlAddress})
	}
	return nil, false
}

// askInstance asks one instance until it answers; the last return is false when it
// says nothing.
func (s *Server) askInstance(ctx context.Context, chosen *membership.Instance, ask func() *arbiter.Request, answers chan arbiter.Answer) (*arbiter.Answer, bool) {
	timer := time.NewTicker(askResend)
	defer timer.Stop()
	for silent := 0; silent < silentResends; silent++ {
		s.sendAsk(chosen, ask())
		answer, heard := awaitAnswer(ctx, timer.C, answers)
		if ctx.Err() != nil {
			return nil, true
		}
		if answer != nil {
			return answer, answer.Decision != arbiter.Unknown
		}
		if heard {
			silent = -1
		}
	}
	return nil, false
}

// awaitAnswer waits for the answer until the next tick. The last return says
// whether the arbiter let know at least that the ask waits.
func awaitAnswer(ctx context.Context, tick <-chan time.Time, answers chan arbiter.Answer) (*arbiter.Answer, bool) {
	heard := false
	for {
		select {
		case <-ctx.Done():
			return nil, heard
		case <-tick:
			return nil, heard
		case answer := <-answers:
			if answer.Decision != arbiter.Waiting {
				return &answer, true
			}
			heard = true
		}
	}
}

func (s *Server) sendAsk(chosen *membership.Instance, ask *arbiter.Request) {
	if chosen.Name == s.options.Process.Name {
		s.takeAsk(nil, ask)
		return
	}
	to, err := netip.ParseAddrPort(chosen.ControlAddress)
	if err != nil {
		return // the silence that follows has another instance asked
	}
	s.sendSealed(net.UDPAddrFromAddrPort(to), datagram.Ask, ask)
}

// sendSealed sends a message; a lost one is repeated by whoever waits for it.
func (s *Server) sendSealed(to net.Addr, kind datagram.Kind, message any) {
	s.arbitration.mu.Lock()
	conn := s.arbitration.conn
	s.arbitration.mu.Unlock()
	content, err := json.Marshal(message)
	if conn == nil || err != nil {
		return // as if it was lost
	}
	_, _ = conn.WriteTo(datagram.Seal(s.options.Process.InstanceKey, kind, content), to) // see above
}

// takeAnswer hands an answer to the call that waits for it. One that comes too late
// is dropped: its asker has decided without it.
func (s *Server) takeAnswer(answer *arbiter.Answer) {
	a := s.arbitration
	a.mu.Lock()
	waiting := a.own[answer.ID]
	a.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- *answer:
	default: // an older word is not read yet; the answer comes again
	}
}
