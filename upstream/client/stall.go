package client

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
	"celeryport/socket"
)

// answerCheckInterval is the time without progress of a write after which it is checked whether an answer waits. A sound
// upstream may pause for as long, also after an interim answer.
const answerCheckInterval = failover.MaxSoundSilence

// stallConn fails a write that makes no progress for the duration limit, with os.ErrDeadlineExceeded. An established
// connection can stop delivering data for good, without an error, while new connections work. A write that makes no
// progress fails early, with the same error, if an answer waits: the upstream may not read the rest.
type stallConn struct {
	*socket.Conn
	limit time.Duration
}

var _ net.Conn = (*stallConn)(nil)

// Write implements net.Conn.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	for stallsAt := time.Now().Add(c.limit); ; {
		now := time.Now()
		until := now.Add(answerCheckInterval)
		if stallsAt.Before(until) {
			until = stallsAt
		}
		if err := c.SetWriteDeadline(until); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case n > 0:
			stallsAt = time.Now().Add(c.limit)
		case !until.Before(stallsAt) || c.Readable():
			return written, err
		}
	}
}
