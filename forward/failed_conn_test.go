package forward

import (
	"bufio"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/membership"
	"celeryport/socket"
	"celeryport/transit"
)

// failedConn is a connection that the kernel has given up.
type failedConn struct {
	net.Conn
	err error
}

func (c *failedConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.err)}
}

// Guards against an upstream that counts as failing at once, or is not checked at all, after a connection to it has failed:
// whether it has ended is checked as after a reset.
func TestFailedConnectionEndsASendLikeAReset(t *testing.T) {
	for _, err := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNABORTED} {
		s := &sending{conn: newUpstreamConn(&failedConn{err: err})}
		_, met := s.conn.conn.Read(make([]byte, 1))
		if outcome := s.brokenOutcome(met); !s.endedByPeer(outcome.err) {
			t.Errorf("%v does not end the send", err)
		}
		if s.endedByPeer(errors.Wrap(os.ErrDeadlineExceeded, "read the answer")) {
			t.Error("a deadline of this side ends the send")
		}
	}
}

// Guards against a call that stays, until its deadline, with an instance whose connection the kernel has given up.
func TestFailedConnectionEndsTheAnswerOfAnInstance(t *testing.T) {
	for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT} {
		synctest.Test(t, func(t *testing.T) {
			sent, _ := newSilentSend(t, 0, 100)
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			conn := socket.NewConn(&failedConn{Conn: near, err: failure})
			reader := peerReader{t: &transitSend{
				x: sent.x, peer: &membership.Instance{Name: "peer", ControlAddress: "peer"},
				conn: &transit.Conn{Conn: conn, Reader: bufio.NewReader(conn)},
			}}
			began := time.Now()
			if _, err := reader.Read(make([]byte, 1)); !errors.Is(err, failure) || time.Since(began) > 0 {
				t.Errorf("after %s: %v", time.Since(began), err)
			}
		})
	}
}
