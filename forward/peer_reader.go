package forward

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
	"celeryport/httpwire"
	"celeryport/membership"
	"celeryport/resume"
	"celeryport/transit"
)

var (
	// errPeerEnded means that the instance that handles the call is known to have ended.
	errPeerEnded = errors.New("the instance sends nothing and takes no connection")
	// errPeerSilent means that another instance serves the call, while the one that handles it takes no
	// connection now.
	errPeerSilent = errors.New("the instance sends nothing and takes no connection now, another one serves the call")
	// errPeerTrickled means that the instance that handles the call sends bytes again and again that are no part of an
	// answer.
	errPeerTrickled = errors.New("the instance sends bytes that are no part of an answer")
)

// peerReader reads the answer of another instance until the deadline of the call. While nothing
// arrives it checks at intervals whether the instance still runs, beside the read. It leaves one that sends bytes
// without completing a part of the answer.
type peerReader struct {
	t       *transitSend
	check   <-chan struct{} // closed when the check that runs has ended; nil if none runs
	retryAt time.Time       // when to try again to leave an instance that trickles
	// leaving is set once the instance has announced that it leaves. It finishes the call although it may have left since
	// and take no connection any more.
	leaving bool
}

// Read implements io.Reader.
func (r *peerReader) Read(p []byte) (int, error) {
	t, now := r.t, time.Now()
	t.meter.Await(now)
	if t.conn.Reader.Buffered() > 0 {
		n, err := t.conn.Reader.Read(p)
		t.meter.Received(now, n)
		return n, err
	}
	if r.leavesTrickle(now) {
		return 0, errPeerTrickled
	}
	r.isLeaving()
	r.check = nil
	for wait := minSilenceTimeout; ; {
		if err := t.conn.SetReadDeadline(earlier(t.x.deadline, time.Now().Add(wait))); err != nil {
			return 0, err
		}
		n, err := t.conn.Read(p)
		if n > 0 {
			t.meter.Received(time.Now(), n)
		}
		if n > 0 || !passedDeadline(err) || !time.Now().Before(t.x.deadline) {
			return n, err
		}
		if wait, err = r.act(); err != nil {
			return 0, err
		}
	}
}

// act begins a check or acts on the result of one. It returns how long to read before the next one,
// or an error that ends the send.
func (r *peerReader) act() (time.Duration, error) {
	t, leaving := r.t, r.isLeaving()
	pool, address := t.x.server.fleet.transits, t.peer.ControlAddress
	if r.check == nil {
		r.check = pool.Check(address)
		return contactPollInterval, nil
	}
	select {
	case <-r.check:
	default:
		return contactPollInterval, nil
	}
	contact := pool.Contact(time.Now(), address, leaving)
	switch t.x.responseTo(contact).Action {
	case failover.End:
		return r.end(errPeerEnded)
	case failover.Move:
		others, known := t.x.server.others(t.x.service.Name)
		if !known {
			return contactPollInterval, nil
		}
		if others.Others == transit.OthersServe && others.By != t.peer.Name {
			t.x.serving = others.By
			return r.end(errPeerSilent)
		}
	}
	r.check = nil
	if contact == failover.Reachable {
		return minSilenceTimeout, nil
	}
	return recheckInterval, nil
}

func (r *peerReader) isLeaving() bool {
	r.leaving = r.leaving || r.t.x.server.isLeaving(r.t.peer.Name)
	return r.leaving
}

// leavesTrickle reports whether the call goes on elsewhere because its instance sends bytes that have completed no part
// of the answer for longer than a sound one is silent, or than the answer may take to begin.
func (r *peerReader) leavesTrickle(now time.Time) bool {
	t, x := r.t, r.t.x
	if !t.meter.Trickles() || now.Before(r.retryAt) || t.meter.Waited(now) < failover.MaxSoundSilence && !t.overdue(now) {
		return false
	}
	r.retryAt = now.Add(recheckInterval)
	return x.responseTo(failover.Overdue).Action == failover.Move && x.handledWithout(t.peer.Name)
}

// overdue reports whether the stream should have begun long ago.
func (t *transitSend) overdue(now time.Time) bool {
	return t.x.route.Stream && t.x.events == 0 && now.Sub(t.sentAt) >= t.x.hangTimeout()
}

// unsound reports whether the error is that of an answer that no instance gives, as it checks those of upstreams.
func unsound(err error) bool {
	return errors.IsAny(err, errPeerTrickled, errNotGenuine, resume.ErrRepeated) || httpwire.StatusOf(err) != 0
}

// handledWithout reports whether the call may be sent without the instance that handles it now.
func (x *exchange) handledWithout(name string) bool {
	s := x.server
	tried := append(slices.Clone(x.brokenBy), name)
	return !s.fleet.paths.Lost(x.service.Name) || s.fleet.transits.Choose(s.options.Plane.View().Instances, "", tried, s.draw()) != nil
}

// responseTo returns what to do with a call whose handling instance is silent.
func (x *exchange) responseTo(c failover.Contact) failover.Decision {
	now := time.Now()
	state := failover.Send{
		Repeatable: x.mayMove(), SendsLeft: x.maxSends() - x.failed.Counted() - 1,
		Budget: x.server.budgets.AllowsRepeat(now, x.service.Name),
	}
	return state.Respond(now, c)
}

// end ends the send unless data has arrived. It first renews the read deadline: once that has passed,
// every connection seems to have data.
func (r *peerReader) end(cause error) (time.Duration, error) {
	if err := r.t.conn.SetReadDeadline(r.t.x.deadline); err != nil {
		return 0, err
	}
	if r.t.conn.Readable() {
		return minListen, nil
	}
	return 0, cause
}

// isLeaving reports whether another instance is about to leave: it may have closed its listener and
// still finish its answers.
func (s *Server) isLeaving(name string) bool {
	instances := s.options.Plane.View().Instances
	for i := range instances {
		if instances[i].Name == name {
			return instances[i].State == membership.Draining
		}
	}
	return false
}
