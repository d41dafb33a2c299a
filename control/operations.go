package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/rpc"
	"celeryport/verdict"
)

// The operators' commands that control serves.
const (
	CommandApply        = "settings.apply"
	CommandShow         = "settings.show"
	CommandInstances    = "instances"
	CommandUpstreams    = "upstreams"
	CommandVoterList    = "voter.list"
	CommandVoterReplace = "voter.replace"
	CommandOrders       = "order.list"
)

// operateTimeout bounds one operator's command on the instance.
const operateTimeout = 5 * time.Second

// errNotLeader refuses what only the leader may answer.
var errNotLeader = verdict.Refuse(verdict.ReasonNotLeader, time.Second, "this instance does not lead the control group, and no leader is known")

// errNoVoterHere answers voters' questions on an instance without a log.
var errNoVoterHere = verdict.Refuse(verdict.ReasonNotFound, 0, "this instance is no voter")

func (n *Node) registerCommands() {
	n.handlers[commandHello] = n.answerHello
	n.handlers[CommandApply] = n.atLeader(CommandApply, n.applySettings)
	n.handlers[commandPutDocument] = n.atLeader(commandPutDocument, n.putDocument)
	n.handlers[commandReadDocument] = n.atLeader(commandReadDocument, n.readDocument)
	n.handlers[commandReportEvidence] = n.reportEvidence
	n.handlers[CommandQuarantineList] = n.atLeader(CommandQuarantineList, n.listQuarantine)
	n.handlers[CommandQuarantineRelease] = n.atLeader(CommandQuarantineRelease, n.releaseQuarantined)
	n.handlers[CommandShow] = n.atLeader(CommandShow, n.showSettings)
	n.handlers[CommandInstances] = n.atLeader(CommandInstances, n.listInstances)
	n.handlers[CommandUpstreams] = n.listUpstreams
	n.handlers[CommandVoterList] = n.atLeader(CommandVoterList, n.listVoters)
	n.handlers[CommandVoterReplace] = n.atLeader(CommandVoterReplace, n.replaceVoter)
	n.handlers[CommandOrders] = n.atLeader(CommandOrders, n.listOrders)
}

// Ask implements Operations.
func (n *Node) Ask(ctx context.Context, controlAddress, command string, body []byte) ([]byte, error) {
	if controlAddress == n.opts.controlAddress() {
		handler, found := n.handlers[command]
		if !found {
			return nil, verdict.Refuse(verdict.ReasonNotFound, 0, "unknown command %q", command)
		}
		return handler(rpc.WithRole(ctx, rpc.Instance), body)
	}
	answer, err := n.clients.At(controlAddress).Operate(ctx, &rpc.OperateRequest{Command: command, Body: body})
	if err != nil {
		return nil, rpc.FromTwirp(err)
	}
	return answer.Body, nil
}

// atLeader runs a handler on the leader: here, or at the instance that this one
// takes for the leader. What comes from another instance is not passed on a
// second time, so that two instances which each take the other for the leader
// don't send a command round for ever.
func (n *Node) atLeader(command string, h Handler) Handler {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, operateTimeout)
		defer cancel()
		var leads bool
		var address string
		err := n.do(ctx, func(now time.Time) {
			n.core.followLeadership(now)
			leads, address = n.core.leader != nil, n.core.leaderAddress()
		})
		if err != nil {
			return nil, err
		}
		if leads {
			return h(ctx, body)
		}
		if address == "" || address == n.opts.controlAddress() || rpc.RoleOf(ctx) == rpc.Instance {
			return nil, errNotLeader
		}
		return n.Ask(ctx, address, command, body)
	}
}

// asLeader runs a task on the control goroutine while this voter leads with a
// valid lease, so that what it reads includes all that was accepted before.
func (n *Node) asLeader(ctx context.Context, t func(now time.Time, l *leader)) error {
	var refused error
	err := n.do(ctx, func(now time.Time) {
		n.core.followLeadership(now)
		if n.core.leader == nil || !n.core.group.leaseValid(now) {
			refused = errNotLeader
			return
		}
		t(now, n.core.leader)
	})
	return errors.CombineErrors(err, refused)
}

func decode[T any](body []byte) (*T, error) {
	var request T
	if len(body) == 0 {
		return &request, nil
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, 0, "malformed command: %v", err)
	}
	return &request, nil
}

func encode(response any) ([]byte, error) {
	body, err := json.Marshal(response)
	return body, errors.Wrap(err, "encode an answer")
}
