package forward

import (
	"github.com/cockroachdb/errors"

	"celeryport/verdict"
)

// outcome is the result of one send. If err is nil, the upstream has sent its whole answer: a stream was written to the
// caller as far as that took it, another answer is in whole.
type outcome struct {
	verdict    verdict.Verdict
	err        error
	reached    bool  // bytes of the call may have reached the upstream
	phase      phase // progress of the send
	kind       sendKind
	checked    <-chan struct{} // closed when it is known whether the upstream ended; nil unless a repeat depends on that
	ended      <-chan struct{} // closed when it is known whether the upstream of a broken send ended; nil unless the send broke
	pathLost   bool            // the answer was lost with this instance's paths to the upstreams
	final      bool            // another instance handled the call to its end
	whole      *heldAnswer     // an answer that is not written yet
	ownFailure *failureAnswer  // a complete failure answer of the upstream
	status     int             // of a complete failure answer
	announced  bool            // the upstream has said for how long it rejects calls

	otherAtFault bool  // an engine other than the one that received the call is at fault
	helper       *node // the engine at fault, if it is a known helper
}

// answered reports whether the outcome is what the upstream answered, whatever the caller did meanwhile.
func (o *outcome) answered() bool {
	return o.err == nil || errors.IsAny(o.err, errOwnFailure, errNotRun, errNotGenuine)
}

// unavailableOutcome returns the outcome of a send that was cancelled because one of its engines
// became unavailable.
func unavailableOutcome(w *work, unavailable *node, cause error) *outcome {
	if unavailable == w.lead {
		return &outcome{verdict: verdict.NotRun, err: cause}
	}
	return &outcome{verdict: verdict.NotRun, err: errors.Wrapf(cause, "the helper at %s", unavailable.address), otherAtFault: true}
}
