package forward

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/quarantine"
)

// brokenSend is a send whose connection the upstream ended before the answer was whole.
type brokenSend struct {
	request quarantine.Fingerprint
	phase   phase
	whole   bool // an answer comes whole or not at all, so that nothing shows when it begins
}

// endedByPeer reports whether an error says that the other side closed the connection or
// fell silent, as a process that crashes does.
func endedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, httpwire.ErrTruncated, errSilent, syscall.ECONNRESET, syscall.EPIPE)
}
