// Package dispatch decides, for one entry instance, which request is admitted,
// where and when it runs, and whether it is tried again. The decisions are pure:
// every call takes the time, and what is to be done comes back as actions. The
// entry instance and the bench drive the same types.
package dispatch

import (
	"time"

	"celeryport/quota"
	"celeryport/request"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/verdict"
)

// Dispatcher is implemented by the production policy and by the naive baseline.
// It is not safe for concurrent use; its driver serialises the calls and carries
// out Actions after each of them.
type Dispatcher interface {
	// Configure installs a revision of the settings.
	Configure(now time.Time, tree *settings.Tree)
	// Observe installs a newer view of the upstreams.
	Observe(now time.Time, view *upstream.Snapshot)
	// Granted installs this instance's parts of the fleet-wide limits.
	Granted(now time.Time, grants []quota.Grant)
	// Demands returns what to state in the next heartbeat.
	Demands(now time.Time) []quota.Demand

	// Offer takes a new request. It leads to exactly one Refuse action, or to
	// Send actions of which the last one is ended by Finish.
	Offer(now time.Time, r *request.Request)
	// FirstToken says that the first token of the request arrived.
	FirstToken(now time.Time, id string)
	// Finish ends the request's present send. After a success nothing follows;
	// after a failure the request is sent again or given up by a Refuse action.
	Finish(now time.Time, id string, outcome Outcome)
	// Withdraw forgets a request whose caller left. A Cancel action follows if
	// it had been sent.
	Withdraw(now time.Time, id string)

	// Tick does what is due: expired requests, lapsed grants, probes.
	Tick(now time.Time)
	// NextTick is the time at which Tick has something to do at the latest.
	NextTick(now time.Time) time.Time
	// Actions returns what is to be done and empties the list. The slice is
	// valid until the next call of any method.
	Actions() []Action
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Send asks the driver to send the request to its placement.
	Send ActionKind = iota
	// Refuse gives the request its final, negative answer at once.
	Refuse
	// Cancel asks the driver to cancel the request at its placement, repeatedly
	// until confirmed. It gives no answer to the caller.
	Cancel
)

// Action is one thing that the driver has to do.
type Action struct {
	Kind      ActionKind
	Request   *request.Request
	Attempt   uint32
	Placement Placement      // Send and Cancel
	Priority  int            // Send: priority on the engine, set from class and length
	Err       *verdict.Error // Refuse
}

// Placement says where a request runs. Parts has one element, or several for a
// span, in the order in which their memory is to be reserved; the first part
// of Parts that has Lead set computes the answer.
type Placement struct {
	Parts []Part
}

// Part is one upstream's part of a placement.
type Part struct {
	Name        string
	Incarnation uint64
	Address     string
	Tokens      int // memory to reserve there; 0 in a placement of one part, which needs no reservation
	Lead        bool
}

// Outcome is how one send ended.
type Outcome struct {
	Err          *verdict.Error // nil: served whole
	AnswerTokens int
	CachedTokens int           // prompt tokens that the engine took from its cache
	FirstToken   time.Duration // from the send to the first token, 0: there was none
	Delivered    bool          // the caller has seen part of the answer
	Resumable    bool          // and the rest can be got by offset
}
