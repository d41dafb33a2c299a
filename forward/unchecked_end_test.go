package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/delivery"
	"celeryport/failover"
	"celeryport/httpwire"
	"celeryport/settings"
)

// genuineDialect takes every answer for that of the call.
type genuineDialect struct{ identityDialect }

func (genuineDialect) SendHead(*Call, *Send) *httpwire.RequestHead {
	return &httpwire.RequestHead{Method: http.MethodGet, Target: "/"}
}

func (genuineDialect) DecodeAnswer(*httpwire.ResponseHead) Answer { return Answer{Genuine: true} }

// sendUnframed makes a send whose answer has neither a length nor chunks. After its end, the upstream is as given.
func sendUnframed(t *testing.T, s *Server, n *node, service *settings.ForwardedService, after endingUpstream) (o *outcome, checks int64) {
	var opened atomic.Int64
	dial := after.dialer(t, &opened)
	s.options.Dialect = genuineDialect{}
	s.options.Dial = func(context.Context, string, string) (net.Conn, error) {
		s.options.Dial = dial
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			_, _ = far.Read(make([]byte, 1000))
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\nok") // the outcome shows a failure
			time.Sleep(time.Millisecond)                            // a pipe whose far end is closed takes no deadline
		}()
		return near, nil
	}
	caller, far := net.Pipe()
	defer caller.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	x := &exchange{
		server: s, writer: &delivery.Writer{Conn: caller}, call: &Call{}, service: service,
		route: &settings.Route{Name: "r", MaxSends: 2}, began: time.Now(), deadline: time.Now().Add(5 * time.Second),
	}
	w := &work{lead: n}
	s.fleet.mu.Lock()
	s.fleet.begin(time.Now(), w)
	s.fleet.mu.Unlock()
	o = x.send(t.Context(), w)
	time.Sleep(time.Second) // the upstream of a broken send is checked
	return o, opened.Load()
}

// Guards against upstreams that get no calls because this process had no descriptor left to check the end of their
// answers, or because they can't be asked for it.
func TestEndThatCannotBeCheckedCountsAgainstNoUpstream(t *testing.T) {
	plain := &settings.ForwardedService{Name: "model"}
	asked := &settings.ForwardedService{Name: "model", HealthPath: "/health", Engine: &settings.EngineProfile{}}
	for name, test := range map[string]struct {
		service *settings.ForwardedService
		after   endingUpstream
		counts  bool
		atOnce  bool
	}{
		"no descriptor is left": {asked, endingUpstream{dial: syscall.EMFILE}, false, false},
		"no port is left":       {asked, endingUpstream{dial: syscall.EADDRNOTAVAIL}, false, false},
		"nothing can be asked":  {plain, endingUpstream{reply: sameReply}, false, true},
		"it never replies":      {asked, endingUpstream{}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := newServerWithNode(t)
				began := time.Now()
				o, checks := sendUnframed(t, s, n, test.service, test.after)
				if o.err == nil || !o.reached || o.cause().Missed() {
					t.Errorf("outcome %+v", o)
				}
				s.fleet.mu.Lock()
				doubts := n.doubts(time.Now())
				s.fleet.mu.Unlock()
				if counts := doubts > 0; counts != test.counts {
					t.Errorf("%d doubts of the upstream, outcome %v", doubts, o.err)
				}
				if took := time.Since(began) - time.Second; test.atOnce && (took >= failover.MaxSoundSilence || checks > 1) {
					t.Errorf("decided after %s and %d connections", took, checks)
				}
			})
		})
	}
}

// Guards against requests that crash their upstreams and aren't suspected of it, because the time of the check of an
// answer's end counts as time in which they ran.
func TestTimeOfTheCheckIsNotRunTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, _ := newSilentSend(t, 0, 100)
		var opened atomic.Int64
		sent.x.server.options.Dialect = identityDialect{}
		sent.x.server.options.Dial = endingUpstream{silent: 1200 * time.Millisecond, dial: syscall.ECONNREFUSED}.dialer(t, &opened)
		sent.headAt = time.Now()
		time.Sleep(50 * time.Millisecond)
		if err := sent.verifyEnd(t.Context(), unframed()); err == nil {
			t.Error("the answer counts as complete")
		}
		if ran := sent.runTime(); ran != 50*time.Millisecond {
			t.Errorf("ran for %s", ran)
		}
	})
}

// Guards against upstreams that get no calls because the deadline of a call passes while the end of its answer is
// checked.
func TestDeadlineInTheCheckCountsAgainstNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, _ := newSilentSend(t, 0, 100)
		var opened atomic.Int64
		sent.x.server.options.Dialect = identityDialect{}
		sent.x.server.options.Dial = endingUpstream{reply: sameReply, replies: 50 * time.Millisecond}.dialer(t, &opened)
		sent.x.deadline = time.Now().Add(20 * time.Millisecond)
		if err := sent.verifyEnd(t.Context(), unframed()); err == nil || endedByPeer(err) {
			t.Errorf("ended with %v", err)
		}
		time.Sleep(time.Second) // the check, which others may share, goes on
	})
}
