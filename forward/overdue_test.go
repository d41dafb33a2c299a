package forward

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/resume"
)

// Guards against a call that stays at an upstream that does not begin its answer until the deadline,
// although others are free, because its caller has waited for longer than callers usually do.
func TestCallWhoseCallerIsPatientLeavesAnOverdueUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, w := newSilentSend(t, 2500*time.Millisecond, 100)
		x := sent.x
		sent.begun, x.events, x.received, sent.sentAt, sent.lastEventAt = false, 0, resume.Stream{}, x.began, time.Time{}
		x.predicted = 100 * time.Millisecond
		x.server.options.Dial = dialAfter(t, 0, nil)
		near, far := net.Pipe()
		defer far.Close()
		sent.conn = newUpstreamConn(near)
		w.state.Began = sent.sentAt
		sent.conn.liveness.deadline, sent.conn.liveness.watch = x.deadline, w
		began := time.Now()
		_, err := sent.conn.reader.ReadByte()
		if waited := time.Since(began); x.next == nil || waited > 2*time.Second {
			t.Errorf("after %s: %v", waited, err)
		}
		x.cancelMove()
	})
}

// Guards against one call that waits for long and counts as a new failure of its upstream at each check.
func TestOverdueAnswerCountsOnceAgainstItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent, _ := newSilentSend(t, 0, 100)
		silent.begun, silent.x.route.Patience, silent.sentAt = false, 0, time.Now().Add(-silent.x.hangTimeout())
		if !silent.answerOverdue() || silent.node.failedAt.IsZero() {
			t.Fatal("the answer is not overdue, or that is not recorded")
		}
		silent.node.failedAt = time.Time{}
		if !silent.answerOverdue() || !silent.node.failedAt.IsZero() {
			t.Error("it is recorded once more")
		}
	})
}
