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

// runSync keeps this instance synchronised with the leader. The leader holds each sync
// until there is a change or the interval has passed, and the next one follows. Changes of
// this instance are sent at once in additional syncs.
func (n *Node) runSync(ctx context.Context) error {
	go n.runUrgentSync(ctx)
	for {
		err := n.syncOnce(ctx, n.opts.Timing.Sync)
		if err != nil && !errors.Is(err, errResend) {
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
		case <-n.urgentSync:
			if n.syncOnce(ctx, 0) != nil { // a failed one is made up for by the next regular sync
				clock.Pause(ctx, n.opts.Timing.Retry)
			}
		}
	}
}

// requestSync requests a sync in addition to the one that is held.
func (n *Node) requestSync() {
	select {
	case n.urgentSync <- struct{}{}:
	default:
	}
}

// errResend is returned by a sync that was not accepted, but whose response states how to
// send the next one.
var errResend = errors.New("the sync must be sent again")

// errNoVoter is returned by a sync that found no voter to ask.
var errNoVoter = errors.New("no voter answered")

// syncOnce sends one sync and applies the response.
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
	return n.applyAnswer(ctx, &searchAnswer{target: target, sentAt: sentAt, response: response, request: &request})
}

// callSync sends a sync to target, which may be this instance itself.
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
	out := &rpc.SyncRequest{State: state, Heard: request.announcements}
	answer, err := n.clients.At(target).Sync(ctx, out)
	if err != nil {
		return nil, rpc.FromTwirp(err)
	}
	n.traffic.recordSent(out)
	var response syncResponse
	err = json.Unmarshal(answer.State, &response)
	response.upstreams = answer.Upstreams
	return &response, errors.Wrap(err, "decode the answer of a sync")
}

// SetDemand sets the demand that this instance observed of each organisation; it is sent
// with the next sync.
func (n *Node) SetDemand(ctx context.Context, demand []quota.Demand) error {
	return n.post(ctx, func(time.Time) { n.core.demand = demand })
}
