package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus/hooks/test"

	"celeryport/control"
	"celeryport/loadshare"
	"celeryport/quarantine"
	"celeryport/upstream"
)

// evidencePlane keeps what is reported, and decides nothing by it.
type evidencePlane struct {
	view     *control.View
	evidence []quarantine.Evidence
}

func (p *evidencePlane) View() *control.View { return p.view }

func (p *evidencePlane) ReportEvidence(e quarantine.Evidence) { p.evidence = append(p.evidence, e) }

func newTestSuspects() (*suspects, *evidencePlane) {
	log, _ := test.NewNullLogger()
	plane := &evidencePlane{view: &control.View{Upstreams: &upstream.Snapshot{}}}
	return newSuspects(&Options{Plane: plane, Log: log}), plane
}

var (
	lethal = quarantine.Fingerprint{Scope: 1, Body: 7}
	began  = time.Unix(1_700_000_000, 0)
)

func crash(s *suspects, request quarantine.Fingerprint, times int) {
	for n := range times {
		s.ended(began, &node{key: loadshare.Key(n + 1)}, request, quarantine.EndedStarted)
	}
}

// Guards against sending a request to engine after engine while there is no leader that
// could count what it did.
func TestOwnEvidenceRejectsUntilControlDecides(t *testing.T) {
	s, plane := newTestSuspects()
	crash(s, lethal, 2)
	if s.rejects(began, lethal) {
		t.Error("rejected after two crashes")
	}
	crash(s, lethal, 3)
	if !s.rejects(began, lethal) || len(plane.evidence) != 5 {
		t.Errorf("rejected after three crashes: %t; %d reported", s.rejects(began, lethal), len(plane.evidence))
	}
	if s.rejects(began.Add(ownLimits.Retention), lethal) {
		t.Error("control did not confirm it, and it is rejected for ever")
	}
}

// Guards against rejecting what many callers send in the same words, because engines ended
// beside it now and then.
func TestAnsweredRequestsAreNotBlamed(t *testing.T) {
	s, plane := newTestSuspects()
	s.served(began, lethal)
	crash(s, lethal, 9)
	if s.rejects(began, lethal) || len(plane.evidence) > 0 {
		t.Errorf("evidence %+v", plane.evidence)
	}
}

// Guards against a quarantine that outlasts the proof that the request is harmless.
func TestAnswerIsReported(t *testing.T) {
	s, plane := newTestSuspects()
	crash(s, lethal, 1)
	s.served(began, lethal)
	if last := plane.evidence[len(plane.evidence)-1]; last.Outcome != quarantine.Answered {
		t.Errorf("reported last: %+v", last)
	}
	s, plane = newTestSuspects()
	plane.view.Quarantine = quarantine.NewList(1, []quarantine.Fingerprint{lethal})
	s.served(began, lethal)
	if len(plane.evidence) != 1 || plane.evidence[0].Outcome != quarantine.Answered {
		t.Errorf("reported %+v", plane.evidence)
	}
	s.served(began, quarantine.Fingerprint{Body: 8})
	if len(plane.evidence) != 1 {
		t.Error("an answer that clears nothing was reported")
	}
}

// Guards against blaming the last requests of engines that leave as they announced.
func TestPlannedEndIsNoEvidence(t *testing.T) {
	for name, want := range map[string]int{"leaving": 0, "ready": 1, "gone": 1} {
		synctest.Test(t, func(t *testing.T) {
			log, _ := test.NewNullLogger()
			f := newTestFleet(log, func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
			registry := upstream.NewRegistry(time.Hour)
			registry.Hear(time.Now(), upstream.Announcement{Name: "leaving", Incarnation: 1, Sequence: 1, Address: "10.0.0.1:1", Leaving: true})
			registry.Hear(time.Now(), upstream.Announcement{Name: "ready", Incarnation: 1, Sequence: 1, Address: "10.0.0.2:1"})
			plane := &evidencePlane{view: &control.View{Upstreams: registry.Snapshot(time.Now())}}
			f.options.Plane = plane
			<-f.brokeOff(&node{start: start{name: name, incarnation: 1}}, brokenSend{request: lethal, phase: phaseStarted})
			if len(plane.evidence) != want {
				t.Errorf("the end of an engine that is %s brings %d pieces of evidence, want %d", name, len(plane.evidence), want)
			}
		})
	}
}

// Guards against blaming a request whose answer had been under way for long, and against
// missing one whose upstream had sent some of it.
func TestTimeSinceTheStartDecides(t *testing.T) {
	for _, c := range []struct {
		broken    brokenSend
		outcome   quarantine.Outcome
		suspected bool
	}{
		{brokenSend{phase: phaseUnanswered}, quarantine.EndedWaiting, true},
		{brokenSend{phase: phaseUnanswered, whole: true}, quarantine.EndedStarted, true},
		{brokenSend{phase: phaseUnanswered, whole: true, silent: true}, quarantine.EndedWaiting, true},
		{brokenSend{phase: phaseStarted, ran: time.Millisecond}, quarantine.EndedStarted, true},
		{brokenSend{phase: phaseStarted, ran: time.Millisecond, silent: true}, quarantine.EndedWaiting, true},
		{brokenSend{phase: phaseAnswering, ran: crashWindow}, quarantine.EndedStarted, true},
		{brokenSend{phase: phaseAnswering, ran: lateCrashWindow}, quarantine.EndedWaiting, true},
		{brokenSend{phase: phaseAnswering, ran: lateCrashWindow + 1}, 0, false},
	} {
		if outcome, suspected := c.broken.evidence(); outcome != c.outcome || suspected != c.suspected {
			t.Errorf("%+v: %s, %t", c.broken, outcome, suspected)
		}
	}
}

// Guards against taking a request for harmless because an upstream that fails its requests
// answered it with a failure.
func TestFailureOfAnUpstreamClearsNothing(t *testing.T) {
	s, plane := newTestSuspects()
	s.options.Dialect, s.options.Metrics = plainDialect{}, NewMetrics(prometheus.NewRegistry())
	server := &Server{options: *s.options, fleet: &fleet{suspects: s}}
	ours, theirs := net.Pipe()
	defer theirs.Close()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	x := &exchange{server: server, writer: &callerWriter{conn: ours}, call: &Call{}, began: time.Now(), fingerprint: lethal}
	crash(s, lethal, 2)
	x.pass(&heldAnswer{status: http.StatusInternalServerError})
	crash(s, lethal, 3)
	if !s.rejects(began, lethal) {
		t.Errorf("reported %+v", plane.evidence)
	}
}
