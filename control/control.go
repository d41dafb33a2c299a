// Package control drives the replicated control state of an instance: it owns
// the one goroutine that runs consensus, membership, settings revisions, orders
// and claims, and publishes immutable views for the traffic goroutines.
package control

import (
	"context"
	"time"

	"celeryport/claim"
	"celeryport/membership"
	"celeryport/quarantine"
	"celeryport/quota"
	"celeryport/settings"
	"celeryport/upstream"
)

// View is what the traffic side sees of the control state. It is immutable and
// replaced whole.
type View struct {
	Incarnation uint64         // of this instance; settled by the time LeaseUntil is first set
	Tree        *settings.Tree // installed revision, nil before the first
	LeaseUntil  time.Time      // this instance may admit until then, on its own monotonic clock
	Instances   []membership.Instance
	Upstreams   *upstream.Snapshot
	Grants      []quota.Grant
	Leader      string
	HasQuorum   bool             // a majority of the voters was reached lately
	Quarantine  *quarantine.List // requests that no upstream may get
}

// Plane is the interface through which the traffic side uses control.
type Plane interface {
	// View returns the present view without blocking.
	View() *View
	// Announce hands in an announcement that an upstream made to this instance.
	Announce(a upstream.Announcement)
	// ReportEvidence hands in what this instance saw of a request whose upstream ended.
	ReportEvidence(e quarantine.Evidence)
	// Claim asks the voters for the right to send a request that may not be
	// repeated. Only Won allows to send.
	Claim(ctx context.Context, key claim.Key, holder claim.Holder) ClaimResult
	// Settle records the outcome of a claim that was won. A Released outcome
	// needs a proof that the request did not run.
	Settle(key claim.Key, holder claim.Holder, outcome claim.Outcome)
	// Drain stops this instance from being handed out and tells the others.
	Drain(ctx context.Context) error
}

// ClaimState says what came of a claim.
type ClaimState uint8

const (
	// NoMajority means that too few voters answered in time. Nothing may be sent.
	NoMajority ClaimState = iota
	// Won means that this holder, and no other, may send.
	Won
	// Lost means that another holder has the key; Outcome says what is known of it.
	Lost
	// Split means that no holder has a majority now; asking again may succeed.
	Split
	// Expired means that the key is older than its lifetime.
	Expired
)

// ClaimResult answers Claim.
type ClaimResult struct {
	State   ClaimState
	Outcome claim.Outcome // on Lost
}

// Node implements both.
var (
	_ Plane      = (*Node)(nil)
	_ Operations = (*Node)(nil)
)
