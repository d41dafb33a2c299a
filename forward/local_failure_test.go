package forward

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/paths"
)

// Guards against an instance that suspects all upstreams, and loses the paths to them, because it has
// no descriptors left itself.
func TestOwnShortageSuspectsNoUpstream(t *testing.T) {
	s := newTestServer(t, "front-1", "front-1")
	for cause, want := range map[syscall.Errno]bool{syscall.EMFILE: false, syscall.ECONNREFUSED: true} {
		f := newFleet(&Options{
			Process: s.options.Process, Plane: s.options.Plane, Log: s.options.Log, Metrics: s.options.Metrics, Random: s.options.Random,
			Dial: func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", cause)}
			},
		}, func(time.Time, string) float64 { return 0 })
		n := f.node(&s.options.Plane.View().Upstreams.Upstreams[0])
		_, err := f.connect(t.Context(), n, reuseNever)
		if err == nil {
			t.Fatal("connected")
		}
		f.suspect(n, err)
		if got := n.suspicion.active(time.Now()); got != want {
			t.Errorf("%v: suspected %t, want %t", cause, got, want)
		}
	}
}

// Guards against upstreams that get no calls for seconds after the paths to them are back, because an answer ended or
// a connection was checked while they were lost.
func TestLostPathsSuspectNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, _ := newSilentSend(t, 0, 100)
		sent.x.server.options.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, paths.ErrLost }
		if err := sent.verifyEnd(t.Context(), unframed()); err == nil {
			t.Error("the answer counts as complete")
		}
		if sent.x.server.fleet.reachable(t.Context(), sent.node) {
			t.Error("it counts as reachable")
		}
		if sent.node.suspicion.active(time.Now()) {
			t.Error("the upstream is suspected")
		}
	})
}
