package forward

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"celeryport/arbiter"
	"celeryport/datagram"
	"celeryport/event"
	"celeryport/loadshare"
	"celeryport/membership"
	"celeryport/settings"
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
	// silentResends is how many repeats without a word tell that the arbiter is gone.
	silentResends = 3
	// distrustFor is how long an instance that did not answer is passed over. Control
	// notices a dead one within that time.
	distrustFor = 3 * time.Second
	// arbitersTried is how many instances are asked before this one decides alone.
	arbitersTried = 2
	// arbitrationTick is how often the asks that wait are looked at again.
	arbitrationTick = 10 * time.Millisecond
	// answersUnread is how many words of the arbiter may wait to be read.
	answersUnread = 4
	// grantKept is how long what was given away is counted here, until the one who
	// asked tells of it: the pause before a report and the way, three times over.
	grantKept = 50 * time.Millisecond
)

func newArbitration() *arbitration {
	return &arbitration{
		queue:      arbiter.NewQueue(),
		askers:     map[string]net.Addr{},
		own:        map[string]chan arbiter.Answer{},
		distrusted: map[string]time.Time{},
	}
}

// arbiterOf returns the instance that decides for the long prompts of a service:
// the one with the highest hash of both names that has not failed to answer. All
// instances agree on it without a word. It is nil when there is none.
func (s *Server) arbiterOf(now time.Time, service string) *membership.Instance {
	view := s.options.Plane.View()
	key := loadshare.KeyOf(service)
	var best *membership.Instance
	var most uint64
	for i := range view.Instances {
		candidate := &view.Instances[i]
		if candidate.Address == "" || now.Before(s.arbitration.distrusted[candidate.Name]) {
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
func (s *Server) askArbiter(ctx context.Context, service string, ask func() *arbiter.Ask) (*arbiter.Answer, bool) {
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
func (s *Server) askInstance(ctx context.Context, chosen *membership.Instance, ask func() *arbiter.Ask, answers chan arbiter.Answer) (*arbiter.Answer, bool) {
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

func (s *Server) sendAsk(chosen *membership.Instance, ask *arbiter.Ask) {
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

// takeAsk takes in an ask, answers it if there is an answer, and lets the asker
// know otherwise that it is heard.
func (s *Server) takeAsk(from net.Addr, ask *arbiter.Ask) {
	a := s.arbitration
	a.mu.Lock()
	answer := a.queue.Take(time.Now(), ask)
	if answer == nil {
		a.askers[ask.ID] = from
	}
	a.mu.Unlock()
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

func (s *Server) sendAnswer(to net.Addr, answer *arbiter.Answer) {
	if to == nil {
		s.takeAnswer(answer)
		return
	}
	s.sendSealed(to, datagram.Answer, answer)
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
	if !a.queue.Waits() {
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
		waits := s.arbitration.queue.Waits()
		s.arbitration.mu.Unlock()
		if waits {
			s.decide()
		}
	}
}

// arbiterWorld is what this instance knows when it decides for all.
type arbiterWorld struct {
	server *Server
	now    time.Time
}

// Fleet implements arbiter.World.
func (w *arbiterWorld) Fleet(service string) *arbiter.Fleet {
	view := w.server.options.Plane.View()
	profile := engineProfile(view.Tree, service)
	if profile == nil {
		return nil
	}
	f := w.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes, engines := f.candidates(w.now, view.Upstreams, service)
	fleet := &arbiter.Fleet{Profile: profile, Engines: engines}
	for _, n := range nodes {
		fleet.Keys = append(fleet.Keys, n.key)
	}
	return fleet
}

func engineProfile(tree *settings.Tree, service string) *settings.EngineProfile {
	if tree == nil || tree.Forwarding == nil {
		return nil
	}
	if found := tree.Forwarding.Service(service); found != nil {
		return found.Engine
	}
	return nil
}

// Granted implements arbiter.World.
func (w *arbiterWorld) Granted(ask *arbiter.Ask, answer *arbiter.Answer) {
	f := w.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := answer.Loads(ask)
	for _, n := range f.nodes {
		if load, given := loads[n.key]; given {
			load.Reading += f.loadOf(w.now, n).Reading
			n.granted = append(n.granted, grant{load: load, at: w.now})
		}
	}
}

// grant is what the arbiter gave away at a node a moment ago.
type grant struct {
	load loadshare.Load
	at   time.Time
}
