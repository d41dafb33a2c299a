package recovery

import (
	"time"

	"celeryport/loadshare"
)

// EngineState is the load that an engine reports itself.
type EngineState struct {
	Active int // calls that it runs
	Queued int // calls that wait in its queue
	Held   int // tokens of KV memory in use
}

// streams returns the number of calls at the engine.
func (s EngineState) streams() int { return s.Active + s.Queued }

// Capacity is what an engine can hold, to recognise implausible reports.
type Capacity struct {
	Slots  int
	Tokens int           // KV memory
	Usual  time.Duration // mean response time
}

const (
	// plausibleSlots is the number of times its slots up to which the calls that an engine
	// reports are plausible. More come from a corrupt report or another program.
	plausibleSlots = 10
	// minResidual is the smallest number of unknown calls that counts. A report is 200 ms old, in
	// which a busy engine of 12 slots finishes one or two calls.
	minResidual = 2
)

// plausible reports whether a state may be that of an engine with the given capacity.
func (c Capacity) plausible(s EngineState) bool {
	return c.Slots > 0 && s.Active >= 0 && s.Queued >= 0 && s.Held >= 0 &&
		s.Active <= plausibleSlots*c.Slots && s.Queued <= plausibleSlots*c.Slots && s.Held <= max(c.Tokens, 1)
}

// Residual is the load at one engine that no instance reports: calls of processes that were lost,
// until the engine notices or finishes them. The zero value is no residual load. It is not
// safe for concurrent use.
//
// While the view of an instance is incomplete, the rest of what the engine reports may be calls of
// instances that are not yet known to it. It counts for this instance alone then, and only as far
// as the loads that arrive meanwhile do not explain it. With a complete view the rest is
// reported to the others, by one instance for each engine, because reports are added up.
type Residual struct {
	excess    loadshare.Load // beyond the known load when the engine was polled
	expires   time.Time
	confirmed bool // compared with a complete view
}

// Record compares the state that an engine has just reported with the known load: own is the load
// of this instance, others that of the other instances, without residual load of this
// instance. reporter states whether this instance reports for the engine. A nil state means that
// the engine reports none.
func (r *Residual) Record(now time.Time, state *EngineState, capacity Capacity, own, others loadshare.Load, complete, reporter bool) {
	*r = Residual{}
	if state == nil || !capacity.plausible(*state) || complete && !reporter {
		return
	}
	r.excess = loadshare.Load{Streams: state.streams() - calls(own), Held: state.Held - own.Held}
	r.expires, r.confirmed = now.Add(capacity.Usual), complete
	if complete {
		r.excess = beyond(r.excess, others)
	}
}

// Confirmed returns the residual load that is reported to the other instances.
func (r *Residual) Confirmed(now time.Time) loadshare.Load {
	if !r.confirmed || !now.Before(r.expires) {
		return loadshare.Load{}
	}
	return r.excess
}

// Unconfirmed returns the residual load that counts for this instance alone, given the loads of
// the others that are known by now.
func (r *Residual) Unconfirmed(now time.Time, others loadshare.Load) loadshare.Load {
	if r.confirmed || !now.Before(r.expires) {
		return loadshare.Load{}
	}
	return beyond(r.excess, others)
}

// calls returns the number of calls that a known load explains in a report of the engine, which
// may count the parts that it prefills for other engines.
func calls(known loadshare.Load) int { return known.Streams + known.Helping }

// beyond returns the part of an excess that a load does not explain. Memory counts only beside
// calls: an engine may keep the memory of finished calls for a while.
func beyond(excess, known loadshare.Load) loadshare.Load {
	left := excess.Streams - calls(known)
	if left < minResidual {
		return loadshare.Load{}
	}
	return loadshare.Load{Streams: left, Held: max(0, excess.Held-known.Held)}
}
