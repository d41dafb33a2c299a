package forward

import (
	"time"

	"celeryport/loadshare"
)

// health is what speaks for and against sending work to a node.
type health struct {
	failed     bool // a call or a poll from here failed of late
	busy       bool // it turned a part of a prompt away a moment ago
	suspicions int  // instances that failed to reach it of late, this one included
	answered   bool // it answered a call from here just now
	reported   bool // it answered the poll of an instance just now
	silent     bool // its announcements ceased to come
	failing    int  // instances whose last call there failed of late
	pace       int  // as in loadshare.Load
}

const (
	// answerKept is how long an answer to a call from here speaks for a node: as long as
	// an engine takes to be polled again.
	answerKept = time.Second
	// suspicionsEnough is how many instances have to fail before one believes them that
	// has not tried itself. One alone may be cut off from the node.
	suspicionsEnough = 2
	// failureKept is how long a failed call of an engine is remembered. An engine that
	// fails its calls is never busy and draws them.
	failureKept = 2 * time.Second
	// slowPace is the pace from which on a node is too slow. A prompt is read in even
	// parts, so that the slowest engine decides when it is read.
	slowPace = 15
)

// health sums up what is known of a node. The lock must be held.
func (n *node) health(now time.Time, load loadshare.Load, silent bool) health {
	return health{
		failed:     n.suspicion.holds(now),
		busy:       n.suspicion.passes(now),
		suspicions: load.Suspicions,
		answered:   now.Sub(n.answered) < answerKept,
		reported:   load.Pace > 0,
		silent:     silent,
		failing:    load.Failing,
		pace:       load.Pace,
	}
}

// avoid reports whether the node gets work only if there is no other.
//
// Announcements alone say too little: they stop when the control group is cut in
// two, and engines got no work for as long as that lasts, while long prompts are turned
// away. And what one instance finds out on its own, all others find out again, each by
// calls that wait for a dark engine.
func (s health) avoid() bool {
	switch {
	case s.failed || s.busy || s.pace >= slowPace:
		return true
	case s.answered:
		return false
	case s.failing >= suspicionsEnough:
		return true
	case s.reported:
		return false
	default:
		return s.silent || s.suspicions >= suspicionsEnough
	}
}
