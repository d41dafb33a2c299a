package forward

import (
	"context"
	"time"

	"celeryport/failover"
	"celeryport/settings"
	"celeryport/transit"
)

// silenceWatch lets package failover decide about one send while its upstream sends nothing.
type silenceWatch struct {
	ctx   context.Context // of the call
	s     *sending
	state failover.Send
	check <-chan struct{} // closed when the check of the upstream that runs has ended; nil if none runs
	// others is what other instances know of the service, if that was needed for the last contact.
	others transit.Finding
	// signs are the answers of the engines while the call may return to one of them; nil if none are awaited.
	signs *signs
	// trickleRetryAt is when to try again to leave an upstream that trickles.
	trickleRetryAt time.Time
}

// moveRetryInterval is the time between two attempts to move a call: the loads of the engines
// change with the passes of the engines, some tens of milliseconds each.
const moveRetryInterval = 50 * time.Millisecond

func newSilenceWatch(ctx context.Context, s *sending) *silenceWatch {
	x := s.x
	w := &silenceWatch{ctx: ctx, s: s, state: failover.Send{
		Began:     s.sentAt,
		Deadline:  x.deadline,
		Silence:   x.silenceTimeout(),
		Predicted: x.predicted,
	}}
	if x.movableService() {
		w.state.Model = failover.Model{Profile: x.service.Engine, Tokens: x.call.PromptTokens}
		if x.isLong() {
			w.state.Model.Place = maxMoveArbitration
		}
		w.state.Patience, w.state.PauseLimit = x.route.Patience, x.route.PauseLimit
		w.state.Draw = x.server.draw()
	}
	return w
}

// movableService reports whether the calls of the route and service may move: the patience of
// the callers is known, and the engines have a performance profile.
func (x *exchange) movableService() bool {
	return x.route.Patience > 0 && x.service.Engine != nil && x.call.PromptTokens > 0
}

// forecast returns what to do if no data arrives from now on. It takes no lock, because it is
// called for each read; act decides again with the load of the engine.
func (w *silenceWatch) forecast(now time.Time) failover.Decision {
	w.state.DataAt, w.state.AliveAt, w.state.Recheck, w.check = now, now, time.Time{}, nil
	w.signs = nil
	w.state.Prefill, w.state.Budget = 0, true
	w.refresh()
	return w.state.Decide(now)
}

// act decides and does what is due. It returns the next decision, or an error that ends the send.
// pending means that data is waiting to be read.
func (w *silenceWatch) act(pending bool) (failover.Decision, error) {
	now, x := time.Now(), w.s.x
	w.refresh()
	if w.state.Patience > 0 {
		w.state.Prefill = x.server.fleet.prefillTime(now, w.s.node)
		w.state.Budget = x.server.budgets.AllowsRepeat(now, x.service.Name)
	}
	switch d := w.state.Decide(now); {
	case d.Action == failover.Check:
		contact, known := w.contact()
		if !known {
			return failover.Decision{Until: now.Add(contactPollInterval)}, nil
		}
		if err := w.respond(contact, pending); err != nil {
			return failover.Decision{}, err
		}
	case d.Action == failover.Move && !pending:
		if w.ctx.Err() == nil && w.s.prepareMove(w.ctx, &w.state, d.Cause) {
			return failover.Decision{}, errMoved
		}
		w.state.NotBefore = time.Now().Add(moveRetryInterval) // data is read between two attempts, which may wait
	}
	return w.state.Decide(time.Now()), nil
}

const (
	// contactPollInterval is how often a silent send looks for the result of a check that runs. It
	// keeps reading meanwhile.
	contactPollInterval = 25 * time.Millisecond
	// recheckInterval is the time between two checks of an upstream that was not found reachable.
	recheckInterval = 250 * time.Millisecond
	// lostPathsInterval is how often a silent send looks at the attempts while the paths are lost.
	lostPathsInterval = 100 * time.Millisecond
)

// contact returns what is known of the silent upstream. The last result is false while a check runs.
func (w *silenceWatch) contact() (failover.Contact, bool) {
	fleet, n, quiet := w.s.x.server.fleet, w.s.node, w.state.QuietSince()
	if fleet.paths.Lost(n.service) {
		return w.contactOnLostPaths()
	}
	if w.signs != nil {
		return w.signs.contact, true
	}
	if w.check == nil {
		w.check = fleet.checkContact(n, quiet)
	}
	select {
	case <-w.check:
		w.check = nil
	default:
		return failover.Reachable, false
	}
	if fleet.paths.Lost(n.service) {
		return w.contactOnLostPaths()
	}
	c := fleet.contactOf(time.Now(), n, w.state.DataAt)
	if c == failover.Reachable && w.s.answerOverdue() {
		c = failover.Overdue
	}
	return c, true
}

// contactOnLostPaths does the same while this instance has lost its paths. Its attempts to reach the
// upstream go on, and the other instances are asked if that matters.
func (w *silenceWatch) contactOnLostPaths() (failover.Contact, bool) {
	x, n, now := w.s.x, w.s.node, time.Now()
	x.server.fleet.checkContact(n, w.state.QuietSince())
	c := x.server.fleet.contactOf(now, n, w.state.DataAt)
	w.others = transit.Finding{}
	if c == failover.Ended || w.state.MayHandOver(now) && x.mayHandOver() {
		var known bool
		if w.others, known = x.server.others(n.service); !known {
			return failover.Reachable, false
		}
	}
	confirmed := w.others.Others == transit.OthersReachNone
	if c != failover.Reachable && !confirmed {
		found, known := x.server.fleet.transits.OthersOn(x.server.options.Plane.View().Instances, n.service, uint64(n.key))
		if c == failover.Ended && !known {
			return failover.Reachable, false
		}
		confirmed = known && found.Others == transit.OthersReportEnd
	}
	return c.OnLostPaths(confirmed), true
}

// mayHandOver reports whether another instance serves the call: one that has replied so, or the one for
// which this instance handles it.
func (w *silenceWatch) mayHandOver() bool {
	x := w.s.x
	return x.transit != nil || x.mayHandOver() && w.others.Others == transit.OthersServe
}

// respond acts on what is known of the silent upstream. It returns an error that ends the send.
func (w *silenceWatch) respond(contact failover.Contact, pending bool) error {
	now, x := time.Now(), w.s.x
	w.state.Budget = x.server.budgets.AllowsRepeat(now, x.service.Name)
	d := w.state.Respond(now, contact)
	switch {
	case pending || w.ctx.Err() != nil: // data has arrived, or the caller has left
	case d.Action == failover.End, d.Action == failover.HandOver && w.mayHandOver() && w.s.mayStartOver(now, w.state.Patience > 0):
		x.serving, x.leftSilent = w.others.By, x.leftSilent || d.Action == failover.HandOver
		w.logEnd(contact)
		return errSilent
	case d.Action == failover.Move && w.s.prepareMove(w.ctx, &w.state, d.Cause):
		return errMoved
	}
	w.state.AliveAt, w.state.Recheck = time.Now(), time.Time{}
	if d.Action == failover.Return && !pending && w.ctx.Err() == nil {
		known := w.findFormer(contact)
		if !known {
			w.state.Recheck = w.state.AliveAt.Add(contactPollInterval)
			return nil
		}
		if w.s.back != nil && w.s.prepareMove(w.ctx, &w.state, d.Cause) {
			return errMoved
		}
	}
	switch contact {
	case failover.Reachable:
	case failover.PathsLost:
		w.state.Recheck = w.state.AliveAt.Add(lostPathsInterval)
	default:
		w.state.Recheck = w.state.AliveAt.Add(recheckInterval)
	}
	return nil
}

// findFormer sets the engine that the call returns to, none if it stays, and reports whether that is known yet.
func (w *silenceWatch) findFormer(contact failover.Contact) (known bool) {
	if w.signs == nil {
		w.signs = w.s.askSigns(contact)
	}
	if w.s.back, known = w.signs.decide(); known {
		w.signs = nil
	}
	return known
}

// refresh updates the part of the state that changes with the progress of the call.
func (w *silenceWatch) refresh() {
	x := w.s.x
	w.state.Silence = x.silenceTimeout()
	if x.server.fleet.paths.AnyLost() && x.server.fleet.paths.Lost(x.service.Name) {
		w.state.Silence = x.silenceOnLostPaths(w.s.begun)
	}
	w.state.EventAt, w.state.CallerAt = w.s.lastEventAt, x.began
	if x.events > 0 {
		w.state.CallerAt = x.eventAt
	}
	w.state.Repeatable = x.mayMove()
	w.state.SendsLeft = x.maxSends() - x.failed.Counted() - 1 // the present send counts too
	w.state.MayReturn = x.mayReturn()
	w.state.Moved = x.moves > 0 && x.movedEvents == x.events
}

// mayMove reports whether the route allows to send the call again at this point of the answer.
// Without the ID of the last event, another engine would send the events from the start.
func (x *exchange) mayMove() bool {
	switch x.route.Repeat {
	case settings.RepeatRest:
		return x.received.Resumable()
	case settings.RepeatWhole:
		return !x.writer.Begun()
	default:
		return false
	}
}

// prefillTime returns the time until a node has prefilled all prompts known to it.
func (f *fleet) prefillTime(now time.Time, n *node) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loadOf(now, n).PrefillTime
}
