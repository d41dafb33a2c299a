package forward

import (
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"celeryport/datagram"
	"celeryport/loadshare"
	"celeryport/upstream"
)

// numberedConn is a socket that records the numbers of the sent reports, until it breaks.
type numberedConn struct {
	net.PacketConn
	broken  chan struct{}
	mu      sync.Mutex
	numbers []uint32
}

func (*numberedConn) LocalAddr() net.Addr { return &net.UDPAddr{} }
func (*numberedConn) Close() error        { return nil }

func (c *numberedConn) WriteTo(data []byte, _ net.Addr) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind, content, err := datagram.Open("key", data); err == nil && kind == datagram.Loads {
		if report, err := loadshare.Decode(content); err == nil {
			c.numbers = append(c.numbers, report.Sequence)
		}
	}
	return len(data), nil
}

func (c *numberedConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.broken
	return 0, nil, errSocket
}

// Guards against an instance whose loads the others ignore since its socket was opened again: they
// drop reports with numbers that they know.
func TestReportsAreNumberedOnAfterASocketFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, "front-0", "front-0", "front-1")
		view := *s.options.Plane.View()
		view.Upstreams = upstream.NewRegistry(time.Hour).Snapshot(time.Now()) // none to poll
		s.options.Plane = fixedPlane{view: &view}
		s.fleet.options.Plane = s.options.Plane
		var numbers []uint32
		for range 2 {
			conn := &numberedConn{broken: make(chan struct{})}
			time.AfterFunc(5*time.Second, func() { close(conn.broken) })
			if err := s.ShareLoads(t.Context(), conn); !errors.Is(err, errSocket) {
				t.Errorf("ended with %v", err)
			}
			if len(conn.numbers) == 0 {
				t.Error("sent no reports")
			}
			numbers = append(numbers, conn.numbers...)
		}
		if !slices.IsSorted(numbers) || len(slices.Compact(slices.Clone(numbers))) < len(numbers) {
			t.Errorf("numbers: %v", numbers)
		}
	})
}
