package forward

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/control"
)

// testDrain is the plan of the drains in these tests.
var testDrain = DrainPlan{MinDuration: time.Second, IdleTime: 300 * time.Millisecond, Limit: time.Minute}

// startDrain drains and closes the server. The channel is closed at the end.
func startDrain(t *testing.T, s *Server) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Drain(t.Context(), testDrain)
		s.Close()
	}()
	synctest.Wait()
	return ended
}

// Guards against a stop that closes the connection of a caller that is still sending the body of its call.
func TestDrainWaitsForCallsThatAreBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		ended := startDrain(t, s)
		if _, err := io.WriteString(caller, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if _, err := io.WriteString(caller, "cd"); err != nil {
			t.Fatalf("the connection was closed in the middle of the body: %v", err)
		}
		if answer, err := readAnswer(caller); err != nil || !answer.Close {
			t.Errorf("answer %+v, error %v", answer, err)
		}
		caller.Close()
		<-ended
	})
}

// Guards against a stop that closes a connection right after the end of a long call, when its caller may
// already send the next one.
func TestDrainWaitsForTheNextCallOfACallerThatWasJustAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		s.options.Plane = fixedPlane{view: &control.View{}} // calls wait for their settings
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		began := time.Now()
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			s.Drain(t.Context(), testDrain)
		}()
		time.Sleep(testDrain.MinDuration - maxSettingsWait)
		if err := call(caller); err != nil {
			t.Fatal(err)
		}
		answered := time.Now()
		synctest.Wait()
		time.Sleep(2 * drainTick)
		select {
		case <-drained:
			t.Errorf("the drain has ended %s after its begin, the answer came after %s", time.Since(began), answered.Sub(began))
		default:
		}
		caller.Close()
		<-drained
		s.Close()
	})
}

// Guards against an answer that says that its connection stays open although this instance stops: its
// caller may send the next call just as the connection is closed.
func TestAnswersOfCallsUnderWayEndTheirConnectionsDuringADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newCallerServer(t)
		s.options.Plane = fixedPlane{view: &control.View{}} // calls wait for their settings
		caller, accepted := net.Pipe()
		s.serveConn(accepted)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxSettingsWait / 2)
		ended := startDrain(t, s)
		if answer, err := readAnswer(caller); err != nil || !answer.Close {
			t.Errorf("answer %+v, error %v", answer, err)
		}
		caller.Close()
		<-ended
	})
}
