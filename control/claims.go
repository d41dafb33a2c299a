package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"celeryport/claim"
	"celeryport/consensus"
	"celeryport/rpc"
	"celeryport/verdict"
)

const (
	claimResend   = 250 * time.Millisecond
	claimBackoff  = 20 * time.Millisecond
	claimDeadline = 2 * time.Second // used if the caller's context has no deadline
	settledPoll   = 10 * time.Millisecond
	wonClaimTTL   = time.Hour // how long a won claim is kept while its outcome is unknown
)

// claimGroup is the set of voters on claims and their addresses.
type claimGroup struct {
	epoch     claim.Epoch
	addresses map[consensus.ID]string
}

// wonClaims holds the claims that were won until their outcome is known.
type wonClaims struct {
	mu        sync.Mutex
	won       map[claim.Holder]*claimDriver
	lastSweep time.Time
}

// put adds a claim and removes those whose outcome was never reported: their keys remain
// claimed at the voters, which is the safe result.
func (w *wonClaims) put(now time.Time, h claim.Holder, d *claimDriver) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.won == nil {
		w.won = map[claim.Holder]*claimDriver{}
	}
	w.won[h] = d
	if now.Sub(w.lastSweep) < wonClaimTTL/2 {
		return
	}
	w.lastSweep = now
	for holder, old := range w.won {
		if now.Sub(old.startedAt) > wonClaimTTL {
			delete(w.won, holder)
		}
	}
}

func (w *wonClaims) remove(h claim.Holder) *claimDriver {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.won[h]
	delete(w.won, h)
	return d
}

// Claim implements Plane. A result of Won is valid until the deadline of ctx.
func (n *Node) Claim(ctx context.Context, key claim.Key, holder claim.Holder) ClaimResult {
	group := n.claimGroup.Load()
	if group == nil || group.epoch.Number == 0 {
		return ClaimResult{State: NoMajority}
	}
	now := n.clock.Now()
	d := &claimDriver{node: n, startedAt: now, answers: make(chan claim.Message, claimQueue)}
	d.claimant = claim.NewClaimant(claim.Request{
		Instance: consensus.ID(n.opts.Process.Name),
		Key:      key,
		Holder:   holder,
		Epoch:    group.epoch,
		Deadline: claimDeadlineOf(ctx, now),
		Resend:   claimResend,
		Backoff:  claimBackoff,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	result := d.run(ctx)
	if result.State == Won {
		n.wonClaims.put(now, holder, d)
	}
	return result
}

func claimDeadlineOf(ctx context.Context, now time.Time) time.Time {
	if deadline, found := ctx.Deadline(); found {
		return deadline
	}
	return now.Add(claimDeadline)
}

// Settle implements Plane. It continues in the background until the voters have confirmed
// or the attempts are exhausted.
func (n *Node) Settle(_ claim.Key, holder claim.Holder, outcome claim.Outcome) {
	if d := n.wonClaims.remove(holder); d != nil {
		n.settling.Add(1)
		go func() {
			defer n.settling.Add(-1)
			d.settle(outcome)
		}()
	}
}

// awaitSettled waits until no outcome and no release is being sent any more, or ctx ends.
func (n *Node) awaitSettled(ctx context.Context) {
	ticker := time.NewTicker(settledPoll)
	defer ticker.Stop()
	for n.settling.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendClaim sends a message to a voter, which may be this instance's own, and returns the
// answers.
func (n *Node) sendClaim(ctx context.Context, m claim.Message) ([]claim.Message, error) {
	if n.claimVoter != nil && n.core.group.id == m.To {
		return n.claimVoter.ask(ctx, m)
	}
	group := n.claimGroup.Load()
	if group == nil || group.addresses[m.To] == "" {
		return nil, errNotVoter
	}
	data, err := claim.EncodeMessage(&m)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.opts.Timing.Call)
	defer cancel()
	response, err := n.clients.At(group.addresses[m.To]).Claim(ctx, &rpc.ClaimRequest{Message: data})
	if err != nil {
		return nil, rpc.FromTwirp(err)
	}
	if len(response.Message) == 0 {
		return nil, nil
	}
	answer, err := claim.DecodeMessage(response.Message)
	return []claim.Message{answer}, err
}

// Claim implements rpc.Control.
func (s *service) Claim(ctx context.Context, in *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	if s.node.claimVoter == nil {
		return nil, rpc.ToTwirp(errNotVoter)
	}
	m, err := claim.DecodeMessage(in.Message)
	if err != nil {
		return nil, twirp.InvalidArgumentError("message", err.Error())
	}
	answers, err := s.node.claimVoter.ask(ctx, m)
	if err != nil {
		return nil, rpc.ToTwirp(verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonNoQuorum, "vote"))
	}
	if len(answers) == 0 {
		return &rpc.ClaimResponse{}, nil
	}
	data, err := claim.EncodeMessage(&answers[0])
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	return &rpc.ClaimResponse{Message: data}, nil
}
