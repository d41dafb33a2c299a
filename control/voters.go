package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/clock"
	"celeryport/consensus"
	"celeryport/verdict"
)

// VotersStatus is the response to CommandVoterList and CommandVoterReplace.
type VotersStatus struct {
	Leader     consensus.ID  `json:"leader"`
	Term       uint64        `json:"term"`
	Commit     uint64        `json:"commit"`
	Voters     []VoterStatus `json:"voters"`
	LeaseValid bool          `json:"lease_valid"`
}

// VoterStatus is the leader's view of one member of the control group.
type VoterStatus struct {
	ID       consensus.ID `json:"id"`
	Address  string       `json:"address"`
	Instance string       `json:"instance,omitempty"` // name of the instance, if known
	Learner  bool         `json:"learner"`
	Match    uint64       `json:"match"` // last log index known to be synced on this member
}

// listVoters is the handler of CommandVoterList.
func (n *Node) listVoters(ctx context.Context, _ []byte) ([]byte, error) {
	var status VotersStatus
	err := n.asLeader(ctx, func(now time.Time, l *leader) { status = l.votersStatus(now) })
	if err != nil {
		return nil, err
	}
	return encode(status)
}

func (l *leader) votersStatus(now time.Time) VotersStatus {
	s := l.core.group.node.Status()
	status := VotersStatus{Leader: s.ID, Term: s.Term, Commit: s.Commit, LeaseValid: l.core.group.leaseValid(now)}
	match := map[consensus.ID]uint64{s.ID: s.Last}
	for _, p := range s.Peers {
		match[p.ID] = p.Match
	}
	for _, m := range s.Configuration.Members() {
		status.Voters = append(status.Voters, VoterStatus{
			ID: m.ID, Address: m.Address, Instance: l.instanceOf(m.ID),
			Learner: s.Configuration.Learner(m.ID), Match: match[m.ID],
		})
	}
	return status
}

func (l *leader) instanceOf(id consensus.ID) string {
	for name, known := range l.ids {
		if known == id {
			return name
		}
	}
	return ""
}

// ReplaceRequest asks for the replacement of one voter. Old is the ID of the voter to
// remove, empty to only add one. New is the name of an instance with voter = true whose
// data folder is not yet a member, empty to only remove one.
type ReplaceRequest struct {
	Old consensus.ID `json:"old"`
	New string       `json:"new"`
}

// replaceStep is the next step of a replacement.
type replaceStep uint8

const (
	replaceDone replaceStep = iota
	replaceAddLearner
	replacePromote
	replaceRemove
	replaceHandOver
)

// replaceVoter is the handler of CommandVoterReplace. It proceeds step by step: the new
// voter copies the log as a learner, is promoted only when it has every committed entry on
// its disk, and the old voter is removed only after that. Each step is derived from the
// current configuration, so a command that is sent again continues where the first one
// stopped.
func (n *Node) replaceVoter(ctx context.Context, body []byte) ([]byte, error) {
	request, err := decode[ReplaceRequest](body)
	if err != nil {
		return nil, err
	}
	for {
		var status VotersStatus
		var step replaceStep
		var refused error
		err := n.asLeader(ctx, func(now time.Time, l *leader) {
			step, refused = l.replace(now, request)
			status = l.votersStatus(now)
		})
		if err != nil {
			return nil, err
		}
		if refused != nil && !transient(refused) {
			return nil, refused
		}
		if step == replaceDone && refused == nil {
			return encode(status)
		}
		if !clock.Pause(ctx, n.opts.Timing.Retry) {
			if waitsForInstance(refused) {
				return nil, refused
			}
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout,
				"the replacement goes on step by step; send the command again to continue")
		}
	}
}

// waitsForInstance reports whether the replacement has not begun because the new instance
// has not synced yet.
func waitsForInstance(err error) bool {
	return errors.Is(err, errNoCandidate) || errors.Is(err, errSameFolder)
}

// transient reports whether a refusal is expected to resolve without intervention: an
// instance that has just started, a change that is not committed yet, or a learner that is
// still copying the log.
func transient(err error) bool {
	if waitsForInstance(err) {
		return true
	}
	var refused *consensus.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Cause {
	case consensus.RefusedPending, consensus.RefusedBehind, consensus.RefusedTermStart,
		consensus.RefusedTransfer, consensus.RefusedBusy, consensus.RefusedUnsafe:
		return true
	default:
		return false
	}
}

// replace performs the next step of a replacement.
func (l *leader) replace(now time.Time, request *ReplaceRequest) (replaceStep, error) {
	next := l.core.group.node.Status().Configuration
	added, err := l.newMember(request)
	if err != nil {
		return replaceDone, err
	}
	step := nextReplaceStep(&next, request, added.ID, l.core.group.id)
	switch step {
	case replaceAddLearner:
		next.Learners = append(append([]consensus.Member(nil), next.Learners...), added)
	case replacePromote:
		next.Learners = withoutMember(next.Learners, added.ID)
		next.Voters = append(append([]consensus.Member(nil), next.Voters...), added)
	case replaceRemove:
		next.Voters = withoutMember(next.Voters, request.Old)
		next.Learners = withoutMember(next.Learners, request.Old)
	case replaceHandOver:
		l.core.group.handOver(now)
		return step, errNotLeader
	default:
		return step, l.pending()
	}
	return step, l.core.group.node.ProposeConfig(now, next)
}

// pending returns an error while the last step of a replacement is not committed.
func (l *leader) pending() error {
	if l.core.group.node.Status().ConfigPending {
		return &consensus.RefusedError{Cause: consensus.RefusedPending}
	}
	return nil
}

// nextReplaceStep compares the configuration with the requested one.
func nextReplaceStep(c *consensus.Configuration, r *ReplaceRequest, added, leader consensus.ID) replaceStep {
	switch {
	case added != "" && !c.Voter(added) && !c.Learner(added):
		return replaceAddLearner
	case added != "" && !c.Voter(added):
		return replacePromote
	case r.Old == leader && c.Voter(leader):
		return replaceHandOver
	case r.Old != "" && (c.Voter(r.Old) || c.Learner(r.Old)):
		return replaceRemove
	default:
		return replaceDone
	}
}

// errNoCandidate is returned if the new instance has not synced yet or is not a voter
// according to its settings.
var errNoCandidate = verdict.Refuse(verdict.ReasonNotLeader, 0,
	"no live instance of this name with voter = true and a data folder is known")

// errSameFolder is returned if the new voter still has the data folder of the old one.
// Either it has just restarted with an empty folder and has not synced yet, or its disk is
// intact and it needs no replacement.
var errSameFolder = verdict.Refuse(verdict.ReasonNotLeader, 0,
	"the instance still has the data folder of the voter that it shall replace")

// newMember finds the instance to be added as a voter.
func (l *leader) newMember(request *ReplaceRequest) (consensus.Member, error) {
	if request.New == "" {
		return consensus.Member{}, nil
	}
	id := l.ids[request.New]
	instance, found := l.table.Find(request.New)
	if !found || id == "" {
		return consensus.Member{}, errNoCandidate
	}
	if id == request.Old {
		return consensus.Member{}, errSameFolder
	}
	return consensus.Member{ID: id, Address: instance.ControlAddress}, nil
}

func withoutMember(members []consensus.Member, id consensus.ID) []consensus.Member {
	var kept []consensus.Member
	for _, m := range members {
		if m.ID != id {
			kept = append(kept, m)
		}
	}
	return kept
}
