package forward

import (
	"context"
	"slices"
	"time"

	"celeryport/event"
	"celeryport/failover"
	"celeryport/loadshare"
	"celeryport/placement"
	"celeryport/resend"
)

// moveObstacle is the reason why a call stays at a silent engine.
type moveObstacle string

const (
	// noEngine means that no other engine can answer before the caller disconnects.
	noEngine moveObstacle = "no-engine"
	// noRepeat means that the repeat budget is used up.
	noRepeat moveObstacle = "no-repeat"
	// unreachableEngine means that the other engine did not take a connection.
	unreachableEngine moveObstacle = "unreachable"
)

// moveConnectTimeout bounds the connection to the engine to which a call is about to move. Data of the
// present engine waits meanwhile.
const moveConnectTimeout = 100 * time.Millisecond

// takesConnection reports whether a node takes a connection, which is kept for the call that moves. One that
// does not in this short time gets no work for a moment, but is not suspected.
func (f *fleet) takesConnection(ctx context.Context, n *node) bool {
	ctx, cancel := context.WithTimeout(ctx, moveConnectTimeout)
	defer cancel()
	conn, err := f.paths.Open(ctx, n.path())
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		n.suspicion.pauseUntil(time.Now().Add(connectTimeout))
		return false
	}
	f.recordReached(n)
	f.keep(n, newUpstreamConn(conn), 0)
	return true
}

// prepareMove places the call on another engine while the present send still runs, so that a call
// that finds no place keeps its old one. It returns false if the call has to stay.
func (s *sending) prepareMove(ctx context.Context, state *failover.Send, cause failover.Cause) bool {
	x, now := s.x, time.Now()
	switch cause {
	case failover.CauseUnanswered:
		s.recordOverdue()
	case failover.CauseSilent:
		s.recordStall()
	}
	w, obstacle := s.placeMove(ctx, state, cause)
	if w == nil {
		x.server.options.Metrics.MoveWithheld(x.service.Name, string(obstacle))
		return false
	}
	x.next, x.returned = w, x.returned || s.back != nil
	x.server.options.Metrics.Moved(x.service.Name, cause)
	eventMoved.Log(x.server.options.Log, event.Fields{
		"call": x.call.ID, "route": x.route.Name, "upstream": s.node.name, "to": w.lead.name, "cause": cause.String(),
		"returns": s.back != nil, "silent_ms": now.Sub(state.CallerAt).Milliseconds(), "patience_ms": state.Patience.Milliseconds(),
		"predicted_ms": x.predicted.Milliseconds(), "events": x.events, "after_ms": now.Sub(x.began).Milliseconds(),
	})
	return true
}

// placeMove registers a send of the call to another engine that answers in time, and counts it
// against the repeat budget. Without such an engine, or if data has arrived in the meantime, it
// changes nothing.
func (s *sending) placeMove(ctx context.Context, state *failover.Send, cause failover.Cause) (*work, moveObstacle) {
	x, fleet := s.x, s.x.server.fleet
	kept := x.keepPlacement()
	x.tried, x.sentTo = appendCopy(x.tried, s.node.key), appendCopy(x.sentTo, s.node.key)
	x.allowReturn(s.back)
	w := x.findMove(ctx)
	x.tried, x.sentTo, x.back = kept.tried, kept.sentTo, nil
	obstacle := noEngine
	if w != nil {
		now := time.Now()
		if !s.dataWaits() && s.accepts(now, w.lead) && state.Rescues(now, cause, x.predicted) && s.mayStartOver(now, cause.CallerLeaves()) {
			switch {
			case !fleet.takesConnection(ctx, w.lead):
				obstacle = unreachableEngine
			case s.dataWaits(): // data has arrived meanwhile
			case x.server.takeRepeat(now, x.service.Name):
				if x.overdue(now) {
					fleet.recordLate(w)
				}
				return w, ""
			default:
				obstacle = noRepeat
			}
		}
		fleet.end(w)
	}
	x.predicted, x.readers, x.seen = kept.predicted, kept.readers, kept.seen
	return nil, obstacle
}

// accepts reports whether the call may leave its engine for another one: for the one that it returns to, or else for one
// that is not only the last resort.
func (s *sending) accepts(now time.Time, lead *node) bool {
	if s.back != nil {
		return lead == s.back
	}
	return lead != s.node && s.x.server.fleet.recommended(now, lead)
}

// maxMoveArbitration bounds the wait for the arbiter: some ticks of its queue. An ask that it has
// not answered by then waits for free engines.
const maxMoveArbitration = 100 * time.Millisecond

// findMove places the call, a long prompt through the arbiter. It returns nil if no engine can
// take the call now.
func (x *exchange) findMove(ctx context.Context) *work {
	if !x.isLong() {
		w, _, _ := x.tryPlace() // a refusal means that the call stays
		return w
	}
	ctx, cancel := context.WithTimeout(ctx, maxMoveArbitration)
	defer cancel()
	x.plans++ // the arbiter repeats its answer to an ask of the same name for a second
	w, err := x.place(ctx)
	if err != nil {
		return nil // the call stays where it is
	}
	return w
}

// keptPlacement is the part of an exchange that an attempt to place it changes. The count of plans
// is not restored: it makes the names of asks and reservations unique.
type keptPlacement struct {
	tried, sentTo []loadshare.Key
	predicted     time.Duration
	readers       int
	seen          placement.Seen
}

func (x *exchange) keepPlacement() keptPlacement {
	return keptPlacement{tried: x.tried, sentTo: x.sentTo, predicted: x.predicted, readers: x.readers, seen: x.seen}
}

// appendCopy appends a key without changing the array of the list.
func appendCopy(list []loadshare.Key, key loadshare.Key) []loadshare.Key {
	return append(slices.Clip(list), key)
}

// recommended reports whether a node is not only the last resort of the placement.
func (f *fleet) recommended(now time.Time, n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.verdict.Allows(false) && !n.ejected(now) && !n.health(now, f.loadOf(now, n), false).avoid()
}

// overdue reports whether the answer is late because of the silence that has not ended yet.
func (x *exchange) overdue(now time.Time) bool {
	limit, waited := x.nextEvent(now)
	return limit > 0 && waited > limit
}

// recordMove records that a call left a silent engine. The engine may only be busy: the move is
// no evidence against it.
func (x *exchange) recordMove(from *work, o *outcome) {
	x.server.options.Metrics.Sent(x.service.Name, movedOutcome)
	x.failed.Record(resend.Counted)
	x.moves++
	x.leftSilent = true
	x.movedEvents = x.events
	x.recordRejection(from, o)
	x.tried = append(x.tried, from.lead.key)
}

// movedOutcome is the outcome of a send in the metrics if the call moved.
const movedOutcome = "moved"

// nextSend returns the send to which the call moves, or places the call.
func (x *exchange) nextSend(ctx context.Context) (*work, error) {
	if w := x.next; w != nil {
		x.next = nil
		return w, nil
	}
	return x.place(ctx)
}

// cancelMove removes the send to which the call was about to move when it ended.
func (x *exchange) cancelMove() {
	if x.next != nil {
		x.server.fleet.end(x.next)
		x.next = nil
	}
}
