package forward

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control"
	"celeryport/quarantine"
)

// changingPlane is a control plane whose view changes.
type changingPlane struct{ view atomic.Pointer[control.View] }

func (p *changingPlane) View() *control.View { return p.view.Load() }

func (*changingPlane) ReportEvidence(quarantine.Evidence) {}

func TestEnginesArePolledAsSoonAsTheInstancesAreKnown(t *testing.T) {
	// The list of instances arrives some tenths of a second after the start of the process. If
	// the engines were polled a whole interval later, calls of lost processes would have ended
	// or delayed new ones before they are known.
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-1", "front-1")
		known := s.options.Plane.View()
		unknown := *known
		unknown.Instances = nil
		plane := &changingPlane{}
		plane.view.Store(&unknown)
		s.options.Plane, s.options.Dialect = plane, pollDialect{}
		var polled atomic.Int64
		s.options.Dial = func(context.Context, string, string) (net.Conn, error) {
			polled.Add(1)
			return nil, errors.New("no network")
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go s.pollEngines(ctx)
		time.Sleep(350 * time.Millisecond)
		if n := polled.Load(); n > 0 {
			t.Errorf("%d connections before the instances are known", n)
		}
		plane.view.Store(known)
		time.Sleep(2 * pollTick)
		if n := polled.Load(); n < 18 {
			t.Errorf("%d of 18 engines are polled 200 ms after the instances are known", n)
		}
	})
}
