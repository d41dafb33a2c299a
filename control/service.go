package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"celeryport/rpc"
	"celeryport/verdict"
)

// service implements the RPCs at the control address. Its methods run on the goroutines of
// the HTTP server and pass the work to the control goroutine.
type service struct {
	node *Node
}

// Sync implements rpc.Control.
func (s *service) Sync(ctx context.Context, in *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	var request syncRequest
	if err := json.Unmarshal(in.State, &request); err != nil {
		return nil, twirp.InvalidArgumentError("state", err.Error())
	}
	if err := request.check(); err != nil {
		return nil, twirp.InvalidArgumentError("state", err.Error())
	}
	request.announcements = in.Heard
	response, err := s.node.handleSync(ctx, &request)
	if err == nil && response.mayAnnounceLeaving {
		err = s.node.propagate(ctx)
	}
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	state, err := json.Marshal(response)
	if err != nil {
		return nil, rpc.ToTwirp(errors.Wrap(err, "encode a sync"))
	}
	out := &rpc.SyncResponse{State: state, Upstreams: response.upstreams}
	s.node.traffic.recordAnswered(out)
	return out, nil
}

// handleSync passes a sync to the control goroutine and waits for the response.
func (n *Node) handleSync(ctx context.Context, request *syncRequest) (*syncResponse, error) {
	reply := make(chan *syncResponse, 1)
	arrivedAt := n.clock.Now()
	if err := n.post(ctx, func(now time.Time) { n.core.acceptSync(now, arrivedAt, request, reply) }); err != nil {
		return nil, err
	}
	select {
	case response := <-reply:
		return response, nil
	case <-n.stopped:
		return nil, errStopped
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonTimeout, "sync")
	}
}

// acceptSync passes a sync to the fan-out or the leader state, or responds with the
// address of the leader.
func (c *core) acceptSync(now, arrivedAt time.Time, request *syncRequest, reply chan<- *syncResponse) {
	c.followLeadership(now)
	if c.group != nil && request.revision() > 0 {
		c.group.groupSeen = true
	}
	if request.Attach && c.fanout != nil {
		c.fanout.accept(now, arrivedAt, request, reply)
		return
	}
	if c.leader != nil {
		c.leader.accept(now, arrivedAt, request, reply)
		return
	}
	reply <- &syncResponse{Redirect: true, Leader: c.leaderAddress(), Provisional: c.provisionalFor(now, request)}
}

// leaderAddress is the address at which this instance believes the leader to be.
func (c *core) leaderAddress() string {
	if c.group != nil {
		if address := c.group.leaderAddress(); address != "" {
			return address
		}
	}
	return c.position.leader // set also on a voter that is not a member yet
}

// CopyLedger implements rpc.Control.
func (s *service) CopyLedger(_ context.Context, in *rpc.LedgerRequest) (*rpc.LedgerResponse, error) {
	store := s.node.opts.Ledger
	if store == nil {
		return nil, rpc.ToTwirp(verdict.Refuse(verdict.ReasonNotFound, 0, "this instance keeps no ledger"))
	}
	position, err := store.Merge(in.Copy)
	if err != nil {
		return nil, rpc.ToTwirp(verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStorageFailed, "merge a ledger copy"))
	}
	return &rpc.LedgerResponse{Stored: position}, nil
}

// Operate implements rpc.Control.
func (s *service) Operate(ctx context.Context, in *rpc.OperateRequest) (*rpc.OperateResponse, error) {
	handler, found := s.node.handlers[in.Command]
	if !found {
		return nil, rpc.ToTwirp(verdict.Refuse(verdict.ReasonNotFound, 0, "unknown command %q", in.Command))
	}
	body, err := handler(ctx, in.Body)
	if err != nil {
		return nil, rpc.ToTwirp(err)
	}
	return &rpc.OperateResponse{Body: body}, nil
}
