package consensus

import (
	"fmt"
	"time"

	"celeryport/verdict"
)

// NotLeaderError rejects a call that only the leader serves. The call had no
// effect.
type NotLeaderError struct {
	Leader ID // leader known to this node; empty if unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}

// Unwrap returns a verdict that reports the call as not run.
func (e *NotLeaderError) Unwrap() error {
	return verdict.Refuse(verdict.ReasonNotLeader, 0, "%s", e.Error())
}

// RefusedError is the leader's rejection of a call. The call had no effect.
type RefusedError struct {
	Cause Refusal
}

// Refusal is the reason for a RefusedError.
type Refusal string

// The reasons for which a leader rejects a call.
const (
	RefusedTooLarge     Refusal = "the proposal is larger than an entry may be"
	RefusedBusy         Refusal = "too many entries wait to be committed"
	RefusedTransfer     Refusal = "the leadership is being handed over"
	RefusedTermStart    Refusal = "no entry of this term is committed yet"
	RefusedPending      Refusal = "an earlier change of the configuration is not committed yet"
	RefusedTooMany      Refusal = "a change may add or remove one voter only"
	RefusedNotLearner   Refusal = "a new voter must be a learner first"
	RefusedBehind       Refusal = "the learner does not hold every committed entry yet"
	RefusedSelf         Refusal = "the leader cannot remove itself; transfer the leadership first"
	RefusedUnsafe       Refusal = "the remaining voters would have no majority that is up to date and reachable"
	RefusedNoTarget     Refusal = "the target is no voter, or is the leader"
	RefusedMalformed    Refusal = "the configuration is malformed"
	RefusedNoSuchIndex  Refusal = "the index is not applied, or is behind the snapshot"
	RefusedInconsistent Refusal = "the snapshot does not agree with the log"
)

// Error implements error.
func (e *RefusedError) Error() string { return string(e.Cause) }

// Unwrap returns a verdict that reports the call as not run.
func (e *RefusedError) Unwrap() error {
	reason, after := e.Cause.reason()
	return verdict.Refuse(reason, after, "%s", e.Error())
}

// refusedRetry is the retry delay returned with rejections that are temporary.
const refusedRetry = time.Second

// reason maps a refusal to a verdict reason and a retry delay, which is zero if
// the caller must change the call. No refusal maps to a conflict, because that
// would mean that another operator's change took precedence.
func (r Refusal) reason() (verdict.Reason, time.Duration) {
	switch r {
	case RefusedTooLarge:
		return verdict.ReasonBodyTooLarge, 0
	case RefusedBusy:
		return verdict.ReasonQueueFull, refusedRetry
	case RefusedTransfer, RefusedTermStart:
		return verdict.ReasonNotLeader, refusedRetry
	case RefusedPending, RefusedBehind, RefusedUnsafe:
		return verdict.ReasonNoQuorum, refusedRetry
	default:
		return verdict.ReasonBadRequest, 0
	}
}

func refuse(cause Refusal) error { return &RefusedError{cause} }
