package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/quota"
	"celeryport/rpc"
)

// runSync keeps this instance in step with the leader: each sync is held by the
// leader until there is news or the interval is over, and the next one follows.
// News of this instance's own is sent at once by further syncs beside it.
func (n *Node) runSync(ctx context.Context) error {
	go n.runUrgentSync(ctx)
	for {
		err := n.syncOnce(ctx, n.opts.Timing.Sync)
		if err != nil && !errors.Is(err, errAgain) {
			if !clock.Pause(ctx, n.opts.Timing.Retry) {
				return ctx.Err()
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n.core.attaches() {
			if err := n.reattach(ctx); err != nil {
				return err
			}
		}
	}
}

func (n *Node) runUrgentSync(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.kick:
			if n.syncOnce(ctx, 0) != nil { // a lost one is made good by the next regular sync
				clock.Pause(ctx, n.opts.Timing.Retry)
			}
		}
	}
}

// kickSync asks for a sync beside the one that is held.
func (n *Node) kickSync() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// errAgain ends a sync that reached nobody who took it in, but whose answer says
// how the next one will.
var errAgain = errors.New("the sync must be sent again")

// errNoVoter ends a sync that found nobody to ask.
var errNoVoter = errors.New("no voter answered")

// syncOnce sends one sync and takes in the answer.
func (n *Node) syncOnce(ctx context.Context, wait time.Duration) error {
	var request syncRequest
	var target string
	prepare := func(now time.Time) { request, target = n.core.syncRequest(now, wait) }
	if err := n.do(ctx, prepare); err != nil {
		return err
	}
	if target == "" {
		return n.search(ctx, &request)
	}
	sentAt := n.clock.Now()
	response, err := n.callSync(ctx, target, &request)
	if err != nil {
		return errors.CombineErrors(err, n.do(ctx, func(time.Time) { n.core.syncFailed(target, err) }))
	}
	return n.take(ctx, &searchAnswer{target: target, sentAt: sentAt, response: response, request: &request})
}

// callSync reaches the leader, which may be this instance itself.
func (n *Node) callSync(ctx context.Context, target string, request *syncRequest) (*syncResponse, error) {
	if target == n.opts.controlAddress() {
		return n.handleSync(ctx, request)
	}
	state, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode a sync")
	}
	ctx, cancel := context.WithTimeout(ctx, n.opts.Timing.Call)
	defer cancel()
	answer, err := n.clients.At(target).Sync(ctx, &rpc.SyncRequest{State: state, Heard: request.heard})
	if err != nil {
		return nil, rpc.FromTwirp(err)
	}
	var response syncResponse
	err = json.Unmarshal(answer.State, &response)
	response.upstreams = answer.Upstreams
	return &response, errors.Wrap(err, "decode the answer of a sync")
}

// SetDemand states what this instance saw of each organisation; it goes out with
// the next sync.
func (n *Node) SetDemand(ctx context.Context, demand []quota.Demand) error {
	return n.post(ctx, func(time.Time) { n.core.demand = demand })
}
