package forward

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a shutdown that waits for the idle timeout of a connection that was accepted
// while the server closed.
func TestConnectionAcceptedDuringCloseIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-0")
		s.Close()
		caller, accepted := net.Pipe()
		began := time.Now()
		s.serveConn(accepted)
		if _, err := caller.Read(make([]byte, 1)); err == nil || time.Since(began) > 0 {
			t.Errorf("read %v after %s", err, time.Since(began))
		}
	})
}
