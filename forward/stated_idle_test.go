package forward

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against calls that cross the close of their idle connection, because no answer stated for how long it
// stays open, or because a change of the settings closes it earlier.
func TestConnectionsStayOpenForTheStatedIdleTime(t *testing.T) {
	tests := []struct {
		limit, lowered time.Duration
		stated         string
		idle           time.Duration
	}{
		{15 * time.Second, 15 * time.Second, "timeout=14", 14 * time.Second},
		{2 * time.Second, 2 * time.Second, "timeout=1", time.Second},
		{1500 * time.Millisecond, 1500 * time.Millisecond, "timeout=1", 1200 * time.Millisecond},
		{time.Second, time.Second, "", 900 * time.Millisecond},
		{60 * time.Second, 5 * time.Second, "timeout=59", 59 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.limit.String()+" to "+test.lowered.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newCallerServer(t)
				plane := &changingPlane{fixedPlane: fixedPlane{view: s.options.Plane.View()}}
				setIdleLimit(t, plane, test.limit)
				s.options.Plane = plane
				caller, accepted := net.Pipe()
				s.serveConn(accepted)
				if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				answer, err := readAnswer(caller)
				if err != nil || answer.Header.Get("Keep-Alive") != test.stated {
					t.Fatalf("%v, fields %v", err, answer.Header)
				}
				setIdleLimit(t, plane, test.lowered)
				time.Sleep(test.idle)
				if err := call(caller); err != nil {
					t.Errorf("the call after the stated time: %v", err)
				}
				caller.Close()
				s.Close()
			})
		})
	}
}

// Guards against an answer that states an idle time although its connection is closed.
func TestLastAnswerStatesNoIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		answer, err := readAnswer(caller)
		if err != nil || !answer.Close || answer.Header.Get("Keep-Alive") != "" {
			t.Errorf("%v, fields %v", err, answer.Header)
		}
		caller.Close()
		s.Close()
	})
}
