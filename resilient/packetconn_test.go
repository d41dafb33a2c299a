package resilient

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// failingPackets is a socket whose calls fail with the errors that fail returns.
type failingPackets struct {
	net.PacketConn
	fail func() error
}

func (f *failingPackets) ReadFrom([]byte) (int, net.Addr, error)    { return 1, nil, f.fail() }
func (f *failingPackets) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), f.fail() }
func (f *failingPackets) Close() error                              { return nil }
func (f *failingPackets) LocalAddr() net.Addr                       { return &net.UDPAddr{Port: 80} }

// Guards against an instance that no longer receives because one receive call failed.
func TestReceivingOutlastsErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		passed := time.Now().Add(time.Second)
		conn := NewPacketConn(log, "loads", &failingPackets{fail: func() error {
			if time.Now().Before(passed) {
				return failure(syscall.ENOMEM)
			}
			return nil
		}})
		if n, _, err := conn.ReadFrom(nil); err != nil || n != 1 || time.Since(passed) > maxPause {
			t.Errorf("received %d, %v, %s late", n, err, time.Since(passed))
		}
		if lines := hook.AllEntries(); len(lines) != 2 || lines[0].Message != "datagrams not received" || lines[1].Message != "datagrams received again" {
			t.Errorf("logged %v", lines)
		}
	})
}

// Guards against lost datagrams that nobody learns of, and against a line for each of them.
func TestFailedSendsAreLoggedAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		conn := NewPacketConn(log, "loads", &failingPackets{fail: func() error { return failure(syscall.EPERM) }})
		for began := time.Now(); time.Since(began) < logInterval+time.Second; time.Sleep(10 * time.Millisecond) {
			if _, err := conn.WriteTo([]byte{1}, &net.UDPAddr{Port: 81}); !errors.Is(err, syscall.EPERM) {
				t.Fatal(err)
			}
		}
		if lines := hook.AllEntries(); len(lines) != 2 || lines[1].Data["failures"] != 1000 || lines[1].Data["to"] != ":81" {
			t.Errorf("logged %v", lines)
		}
	})
}
