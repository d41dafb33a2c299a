package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/rpc"
	"celeryport/verdict"
)

// The operators' commands implemented by control.
const (
	CommandApply        = "settings.apply"
	CommandShow         = "settings.show"
	CommandInstances    = "instances"
	CommandUpstreams    = "upstreams"
	CommandVoterList    = "voter.list"
	CommandVoterReplace = "voter.replace"
	CommandOrders       = "order.list"
	CommandEvacuate     = "zone.evacuate"
	CommandZones        = "zone.list"
	CommandShares       = "shares"
)

// operateTimeout limits the execution of an operator's command on the instance.
const operateTimeout = 5 * time.Second

// errNotLeader rejects a command that only the leader can answer.
var errNotLeader = verdict.Refuse(verdict.ReasonNotLeader, time.Second, "this instance does not lead the control group, and no leader is known")

// errNotVoter rejects a request to a voter on an instance without a log.
var errNotVoter = verdict.Refuse(verdict.ReasonNotFound, 0, "this instance is no voter")

func (n *Node) registerCommands() {
	n.handlers[commandHello] = n.answerHello
	n.handlers[commandPropose] = n.answerProposal
	n.handlers[CommandApply] = n.atLeader(CommandApply, n.applySettings)
	n.handlers[commandPutDocument] = n.atLeader(commandPutDocument, n.putDocument)
	n.handlers[commandReadDocument] = n.atLeader(commandReadDocument, n.readDocument)
	n.handlers[commandReportEvidence] = n.reportEvidence
	n.handlers[commandStoreDepartures] = n.storeDepartures
	n.handlers[CommandQuarantineList] = n.atLeader(CommandQuarantineList, n.listQuarantine)
	n.handlers[CommandQuarantineRelease] = n.atLeader(CommandQuarantineRelease, n.releaseQuarantined)
	n.handlers[CommandEvacuate] = n.atLeader(CommandEvacuate, n.evacuate)
	n.handlers[CommandZones] = n.atLeader(CommandZones, n.listZones)
	n.handlers[CommandShares] = n.atLeader(CommandShares, n.listShares)
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

// atLeader returns a handler that runs h on the leader: here, or by forwarding to the
// instance that this one believes to lead. A command received from another instance is not
// forwarded again, so that two instances which each believe the other to lead do not
// forward a command back and forth endlessly.
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

// leaderRoute is the way of a report to the leader.
type leaderRoute struct {
	leads    bool   // this instance leads
	attached bool   // the address is that of a voter which may not lead
	address  string // where to send it, empty if that is not known
}

// routeToLeader returns the way of a report to the leader.
func (n *Node) routeToLeader(ctx context.Context) (leaderRoute, error) {
	var route leaderRoute
	err := n.do(ctx, func(now time.Time) {
		n.core.followLeadership(now)
		route = leaderRoute{leads: n.core.leader != nil, attached: n.core.attaches(), address: n.core.leaderAddress()}
	})
	return route, err
}

// asLeader runs a task on the control goroutine if this voter leads with a valid lease, so
// that the task reads everything accepted before.
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
