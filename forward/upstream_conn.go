package forward

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// upstreamConn is a connection to one upstream incarnation. It carries one call
// at a time.
type upstreamConn struct {
	conn    net.Conn
	reader  *bufio.Reader
	patient *patientReader
	idleAt  time.Time     // since when no call is on it
	idleFor time.Duration // after which the upstream closes it
}

// upstreamBuffer holds the head and the first events of a usual answer.
const upstreamBuffer = 4 << 10

func newUpstreamConn(conn net.Conn) *upstreamConn {
	patient := &patientReader{conn: conn}
	return &upstreamConn{conn: conn, patient: patient, reader: bufio.NewReaderSize(patient, upstreamBuffer), idleFor: defaultIdleFor}
}

const (
	// defaultIdleFor is the idle time that an upstream is trusted to allow when it
	// does not state one.
	defaultIdleFor = 2 * time.Second
	// idleShare is the part of a stated idle time after which a connection is not
	// used any more: a call that meets the upstream's close may have run, and may
	// not be repeated.
	idleShare = 0.5
)

// usable reports whether a call may be sent on an idle connection: the upstream
// will not close it just now, and nothing came on it meanwhile. Bytes that came
// belong to no call, or are the end of the connection.
func (c *upstreamConn) usable(now time.Time) bool {
	if now.Sub(c.idleAt) > time.Duration(float64(c.idleFor)*idleShare) {
		return false
	}
	return c.reader.Buffered() == 0 && !readable(c.conn)
}

func (c *upstreamConn) close() { _ = c.conn.Close() } // nothing more is expected of it

// readable reports whether a read would return at once, without reading.
func readable(conn net.Conn) bool {
	with, ok := conn.(syscall.Conn)
	if !ok {
		return false // an in-memory connection of a test
	}
	raw, err := with.SyscallConn()
	if err != nil {
		return true
	}
	ready := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ready = peeked != unix.EAGAIN
		return true
	})
	return ready || err != nil
}

// patientReader reads from an upstream until the deadline of the call. Whenever
// nothing came for a while it asks whether the upstream is still there: one that
// lost its power, or is cut off, sends no reset.
type patientReader struct {
	conn     net.Conn
	deadline time.Time
	silence  time.Duration // after which stillThere is asked; 0: never
	there    func() bool
}

// Read implements io.Reader.
func (r *patientReader) Read(p []byte) (int, error) {
	for {
		until := r.deadline
		if r.silence > 0 && r.there != nil {
			until = earlier(until, time.Now().Add(r.silence))
		}
		if err := r.conn.SetReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 || !isTimeout(err) || !until.Before(r.deadline) {
			return n, err
		}
		if !r.there() {
			return 0, errSilent
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
