package forward

import (
	"time"

	"celeryport/loadshare"
)

// health is the evidence for and against sending work to a node.
type health struct {
	failed     bool // a call or poll of this instance failed recently
	busy       bool // the node is paused, for example after it refused a part of a prompt
	suspicions int  // number of instances that recently failed to reach it, including this one
	answered   bool // it recently answered a call of this instance
	reported   bool // it recently answered the poll of any instance
	silent     bool // its announcements have stopped
	failing    int  // number of instances whose last call to it recently failed
	pace       int  // as in loadshare.Load
}

const (
	// answerRetention is how long an answered call counts as evidence that a node works: until
	// the engine is polled again.
	answerRetention = time.Second
	// suspicionQuorum is how many instances have to report failures before an instance that has
	// not tried the node itself avoids it. A single one may be cut off from the node.
	suspicionQuorum = 2
	// failureRetention is how long a failed call of an engine counts. An engine that fails its
	// calls is never busy and would therefore attract more of them.
	failureRetention = 2 * time.Second
	// slowPace is the pace from which a node is too slow. A prompt is split into equal parts, so
	// that the slowest engine determines when it is read.
	slowPace = 15
)

// health collects the evidence about a node. The lock must be held.
func (n *node) health(now time.Time, load loadshare.Load, silent bool) health {
	return health{
		failed:     n.suspicion.active(now),
		busy:       n.suspicion.paused(now),
		suspicions: load.Suspicions,
		answered:   now.Sub(n.answered) < answerRetention,
		reported:   load.Pace > 0,
		silent:     silent,
		failing:    load.Failing,
		pace:       load.Pace,
	}
}

// avoid reports whether the node should get work only if there is no other.
//
// Announcements alone are not sufficient evidence: they stop while the control group is
// partitioned, and engines would get no work for that time while long prompts are refused.
// The failures that this instance has seen itself are not sufficient either: each instance would
// have to discover a dead engine with calls that wait for it, so instances share their failures.
func (s health) avoid() bool {
	switch {
	case s.failed || s.busy || s.pace >= slowPace:
		return true
	case s.answered:
		return false
	case s.failing >= suspicionQuorum:
		return true
	case s.reported:
		return false
	default:
		return s.silent || s.suspicions >= suspicionQuorum
	}
}
