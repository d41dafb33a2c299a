// Package control implements the replicated control state of an instance. One goroutine
// runs consensus, membership, settings revisions, engine orders and claims, and publishes
// immutable views for the goroutines that serve traffic.
package control

import (
	"context"
	"time"

	"celeryport/claim"
	"celeryport/evacuation"
	"celeryport/membership"
	"celeryport/quarantine"
	"celeryport/quota"
	"celeryport/settings"
	"celeryport/upstream"
)

// View is a snapshot of the control state for the goroutines that serve traffic. It is
// immutable; a change publishes a new View.
type View struct {
	Incarnation uint64         // incarnation of this instance; final once LeaseUntil is set for the first time
	Tree        *settings.Tree // installed revision, nil before the first one
	LeaseUntil  time.Time      // end of this instance's admission lease, on its own monotonic clock
	Instances   []membership.Instance
	Complete    bool // Instances holds all that the leader may know: it has led for longer than a lease
	Upstreams   *upstream.Snapshot
	Grants      []quota.Grant
	GrantRound  uint64 // changes when new grants have arrived
	Leader      string
	HasQuorum   bool             // whether a majority of the voters was reached recently
	Quarantine  *quarantine.List // requests that must not be sent to any upstream
	Evacuated   *evacuation.List // availability zones whose upstreams get no new work
}

// Plane is the interface of control for the goroutines that serve traffic.
type Plane interface {
	// View returns the current view without blocking.
	View() *View
	// Announce submits an announcement that an upstream made to this instance.
	Announce(a upstream.Announcement)
	// ReportEvidence submits what this instance observed of a request whose upstream
	// crashed.
	ReportEvidence(e quarantine.Evidence)
	// Claim asks the voters for the right to send a request that must not be repeated. The
	// request may be sent only if the result is Won.
	Claim(ctx context.Context, key claim.Key, holder claim.Holder) ClaimResult
	// Settle records the outcome of a claim that was won. A Released outcome
	// requires proof that the request did not run.
	Settle(key claim.Key, holder claim.Holder, outcome claim.Outcome)
	// Drain removes this instance from the addresses given to callers and notifies the
	// other instances.
	Drain(ctx context.Context) error
}

// ClaimState is the result of a claim.
type ClaimState uint8

const (
	// NoMajority means that too few voters answered in time. The request must not be sent.
	NoMajority ClaimState = iota
	// Won means that this holder, and no other, may send the request.
	Won
	// Lost means that another holder has the key; Outcome is what is known about its
	// request.
	Lost
	// Split means that no holder has a majority at present; a retry may succeed.
	Split
	// Expired means that the key is older than its lifetime.
	Expired
)

// ClaimResult is the result of Plane.Claim.
type ClaimResult struct {
	State   ClaimState
	Outcome claim.Outcome // set if State is Lost
}

// Node implements both interfaces.
var (
	_ Plane      = (*Node)(nil)
	_ Operations = (*Node)(nil)
)
