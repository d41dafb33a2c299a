package forward

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
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
