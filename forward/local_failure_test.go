package forward

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
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
