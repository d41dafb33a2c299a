package forward

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"celeryport/datagram"
)

var errSocket = errors.New("the socket no longer works")

// brokenSocket is a socket from which nothing can be taken.
type brokenSocket struct {
	countingConn
	net.Listener
}

func (*brokenSocket) Addr() net.Addr                         { return &net.TCPAddr{} }
func (*brokenSocket) LocalAddr() net.Addr                    { return &net.UDPAddr{} }
func (*brokenSocket) Accept() (net.Conn, error)              { return nil, errSocket }
func (*brokenSocket) ReadFrom([]byte) (int, net.Addr, error) { return 0, nil, errSocket }
func (b *brokenSocket) WriteTo(p []byte, a net.Addr) (int, error) {
	return b.countingConn.WriteTo(p, a)
}
func (b *brokenSocket) Close() error { return b.countingConn.Close() }

// Guards against an instance that neither learns loads nor answers arbitration, unnoticed, since
// its socket no longer receives.
func TestSocketThatNoLongerReceivesEndsSharingOfLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := &brokenSocket{countingConn: countingConn{sent: map[datagram.Kind]int{}, closed: make(chan struct{})}}
		if err := newTestServer(t, "front-0").ShareLoads(t.Context(), conn); !errors.Is(err, errSocket) {
			t.Errorf("ended with %v", err)
		}
	})
}

// Guards against a server that retries for ever at a listener that no longer works.
func TestListenerThatNoLongerWorksEndsTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := newTestServer(t, "front-0").Serve(&brokenSocket{}); !errors.Is(err, errSocket) {
			t.Errorf("ended with %v", err)
		}
	})
}

// shortListener is a listener that is closed after the process was short of descriptors for a while.
type shortListener struct {
	brokenSocket
	attempts int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.attempts++; l.attempts <= 10 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return nil, net.ErrClosed
}

// Guards against a server that ends while the process is short of descriptors, whoever opened its
// listener.
func TestServerOutlastsAShortageOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := newTestServer(t, "front-0").Serve(&shortListener{}); err != nil {
			t.Errorf("ended with %v", err)
		}
	})
}
