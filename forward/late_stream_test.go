package forward

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/delivery"
	"celeryport/httpwire"
	"celeryport/resume"
)

// Guards against a long answer that begins late and counts against its upstream until it ends, and after that.
func TestStreamThatBeginsLateIsNoFailureAnyMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late, _ := newSilentSend(t, 0, 100)
		late.begun, late.x.events, late.x.received = false, 0, resume.Stream{}
		late.x.route.Patience, late.sentAt = 0, time.Now().Add(-late.x.hangTimeout())
		caller, far := net.Pipe()
		defer caller.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		late.x.writer = &delivery.Writer{Conn: caller}
		late.node.detector = late.x.server.fleet.detector(late.node.service)
		if !late.answerOverdue() || late.node.doubts(time.Now()) == 0 {
			t.Fatal("the answer is not overdue, or that is no evidence")
		}
		if err := late.forwardEvent(&httpwire.ResponseHead{Status: 200}, &httpwire.Event{Raw: []byte("data: a\n\n")}); err != nil {
			t.Fatal(err)
		}
		if doubts := late.node.doubts(time.Now()); doubts > 0 {
			t.Errorf("the answer has begun: %d halves of a doubt", doubts)
		}
	})
}
