// Package dispatch decides, for one entry instance, which requests are
// admitted, where and when they run, and whether they are retried. The decision
// logic is pure: every call takes the current time, and the resulting work is
// returned as actions. The entry instance and the benchmarks drive the same
// types.
package dispatch

import (
	"time"

	"celeryport/failover"
	"celeryport/quota"
	"celeryport/request"
	"celeryport/routing"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/verdict"
)

// Dispatcher is implemented by the production policy and by the naive baseline.
// It is not safe for concurrent use; its driver serialises the calls and
// executes Actions after each of them.
type Dispatcher interface {
	// Configure installs a revision of the settings.
	Configure(now time.Time, tree *settings.Tree)
	// Observe installs a newer snapshot of the upstreams.
	Observe(now time.Time, view *upstream.Snapshot)
	// ApplyGrants installs this instance's shares of the fleet-wide limits.
	ApplyGrants(now time.Time, grants []quota.Grant)
	// Demands returns the demands to report in the next heartbeat.
	Demands(now time.Time) []quota.Demand

	// Offer submits a new request. It results in exactly one Refuse action, or
	// in Send actions of which the last one is completed by Finish.
	Offer(now time.Time, r *request.Request)
	// FirstToken reports that the first token of the request arrived.
	FirstToken(now time.Time, id string)
	// Finish reports the end of the request's current send. Nothing follows a
	// success; after a failure the request is either sent again or refused by a
	// Refuse action.
	Finish(now time.Time, id string, outcome Outcome)
	// Withdraw removes a request whose caller disconnected. A Cancel action
	// follows if the request had been sent.
	Withdraw(now time.Time, id string)

	// Tick performs the work that is due: expired requests, lapsed grants and
	// probes.
	Tick(now time.Time)
	// NextTick returns the latest time at which Tick must be called next.
	NextTick(now time.Time) time.Time
	// Actions returns the pending actions and clears the list. The slice is
	// valid until the next call of any method.
	Actions() []Action
	// OutlierChanges returns the upstreams that were ejected because they fail
	// requests, or that are used again, since the last call.
	OutlierChanges() []OutlierChange
}

// OutlierChange is the begin or the end of the ejection of an upstream.
type OutlierChange = routing.OutlierChange

// ActionKind identifies what an Action asks of the driver.
type ActionKind uint8

const (
	// Send asks the driver to send the request to its placement.
	Send ActionKind = iota
	// Refuse ends the request with an error without sending it.
	Refuse
	// Cancel asks the driver to cancel the request at its placement, retrying
	// until the cancellation is confirmed. It does not answer the caller.
	Cancel
)

// Action is one operation for the driver to execute.
type Action struct {
	Kind      ActionKind
	Request   *request.Request
	Attempt   uint32
	Placement Placement      // Send and Cancel
	Priority  int            // Send: priority on the engine, set from class and length
	Err       *verdict.Error // Refuse
}

// Placement describes where a request runs. Parts has one element, or several
// for a span, in the order in which their memory is reserved; the first part
// that has Lead set computes the answer.
type Placement struct {
	Parts []Part
}

// Part is the portion of a placement on one upstream.
type Part struct {
	Name        string
	Incarnation uint64
	Address     string
	Tokens      int // memory to reserve; 0 in a single-part placement, which needs no reservation
	Lead        bool
}

// Outcome describes how a send ended.
type Outcome struct {
	Err          *verdict.Error // nil if the complete answer was served
	Failed       bool           // the complete answer says that the upstream failed
	AnswerTokens int
	CachedTokens int              // prompt tokens served from the engine's cache
	FirstToken   time.Duration    // from the send to the first token; 0 if there was none
	Delivered    bool             // the caller has received part of the answer
	Resumable    bool             // the rest of the answer can be requested by offset
	Contact      failover.Contact // what opening the connection showed of the upstream
}
