package control

import (
	"context"

	"celeryport/claim"
	"celeryport/rpc"
	"celeryport/verdict"
)

// Claim implements Plane. Voters keep no votes yet, so nothing can be won and a
// request that may not be repeated is refused.
func (n *Node) Claim(context.Context, claim.Key, claim.Holder) ClaimResult {
	return ClaimResult{State: NoMajority}
}

// Settle implements Plane.
func (n *Node) Settle(claim.Key, claim.Holder, claim.Outcome) {}

// Claim implements rpc.Control.
func (s *service) Claim(context.Context, *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	return nil, rpc.ToTwirp(verdict.Refuse(verdict.ReasonNoQuorum, 0, "this voter keeps no votes"))
}
