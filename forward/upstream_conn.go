package forward

import (
	"bufio"
	"hash/maphash"
	"net"
	"slices"
	"time"

	"celeryport/failover"
	"celeryport/socket"
	"celeryport/trickle"
)

// upstreamConn is a connection to one incarnation of an upstream. It carries one call at a time.
type upstreamConn struct {
	conn     *socket.Conn
	reader   *bufio.Reader
	liveness *livenessReader
	idleAt   time.Time               // since when the connection is idle
	idleFor  time.Duration           // idle time after which the upstream closes it
	polled   bool                    // last used by a poll
	used     bool                    // has carried a message
	calls    [rememberedCalls]uint64 // hashes of the calls that it has carried last
	next     int                     // position in calls of the next one
}

// rememberedCalls is how many calls a connection remembers. An upstream may repeat an answer where the next one is
// expected, so that one call would do; the others allow for repetitions that come later.
const rememberedCalls = 8

var callSeed = maphash.MakeSeed()

// carry records that the connection carries a call.
func (c *upstreamConn) carry(call string) {
	c.calls[c.next] = maphash.String(callSeed, call)
	c.next = (c.next + 1) % rememberedCalls
}

// hasCarried reports whether the connection has carried a call lately. The same call must not be sent on it again:
// a late second copy of its former answer, such as a rejection, would be taken for the answer of the new send.
func (c *upstreamConn) hasCarried(call string) bool {
	return slices.Contains(c.calls[:], maphash.String(callSeed, call))
}

// upstreamBuffer is large enough for the head and the first events of a typical answer.
const upstreamBuffer = 4 << 10

func newUpstreamConn(opened net.Conn) *upstreamConn {
	conn := socket.NewConn(opened)
	liveness := &livenessReader{conn: conn}
	return &upstreamConn{conn: conn, liveness: liveness, reader: bufio.NewReaderSize(liveness, upstreamBuffer), idleFor: defaultIdleFor}
}

const (
	// defaultIdleFor is the idle time that is assumed if the upstream does not state one.
	defaultIdleFor = 2 * time.Second
)

// reuse is the fraction of its idle time for which an idle connection may be used again.
type reuse float64

const (
	// reuseNever requires a new connection.
	reuseNever reuse = 0
	// reuseForCalls leaves a margin: a call that coincides with the upstream's close may have
	// run, and then must not be repeated.
	reuseForCalls reuse = 0.5
	// reuseForPolls lets two polls in succession use one connection. A poll that fails on an
	// idle connection is repeated on a new one.
	reuseForPolls reuse = 1
)

// usable reports whether a message may be sent on an idle connection: the upstream is not about
// to close it, and no data has arrived on it in the meantime. Such data would belong to no call,
// or be the end of the connection.
func (c *upstreamConn) usable(now time.Time, share reuse) bool {
	if now.Sub(c.idleAt) > time.Duration(float64(c.idleFor)*float64(share)) {
		return false
	}
	return c.reader.Buffered() == 0 && !c.conn.Readable()
}

// worthKeeping reports whether an idle connection may still be used by the next call, or by the
// next poll if it serves polls.
func (c *upstreamConn) worthKeeping(now time.Time) bool {
	if c.polled {
		return c.usable(now, reuseForPolls)
	}
	return c.usable(now, reuseForCalls)
}

func (c *upstreamConn) close() { _ = c.conn.Close() } // the connection is not used again

// livenessReader reads from an upstream until the deadline of the call. Whenever no data has
// arrived for a while, or none that completes a part of the answer, it lets its watch act: an upstream that lost its
// power or its network sends no reset, and one that is busy for longer than the caller waits sends nothing in time.
type livenessReader struct {
	conn     *socket.Conn
	deadline time.Time
	watch    *silenceWatch // nil: only the deadline ends a read
	meter    trickle.Meter
}

// minListen is the shortest time for which a read listens. After this instance was suspended or
// wrote to a slow caller, the time to act has passed although data is waiting.
const minListen = 5 * time.Millisecond

// Read implements io.Reader.
func (r *livenessReader) Read(p []byte) (int, error) {
	var next failover.Decision
	if now := time.Now(); r.watch != nil {
		r.meter.Await(now)
		if err := r.watch.leaveTrickle(now); err != nil {
			return 0, err
		}
		next = r.watch.forecast(now)
	}
	for {
		until := r.deadline
		if at, wakes := wakeAt(time.Now(), next); wakes {
			until = earlier(until, at)
		}
		if err := r.conn.SetReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 {
			r.meter.Received(time.Now(), n)
		}
		if n > 0 || !passedDeadline(err) || r.watch == nil || !time.Now().Before(r.deadline) {
			return n, err
		}
		pending, err := r.pending()
		if err != nil {
			return 0, err
		}
		if next, err = r.watch.act(pending); err != nil {
			return 0, err
		}
	}
}

// pending reports whether data waits to be read. It first renews the read deadline: once that has
// passed, every connection seems to have data.
func (r *livenessReader) pending() (bool, error) {
	if err := r.conn.SetReadDeadline(r.deadline); err != nil {
		return false, err
	}
	return r.conn.Readable(), nil
}

// wakeAt returns when to act on a decision; false if it names no time.
func wakeAt(now time.Time, d failover.Decision) (time.Time, bool) {
	soonest := now.Add(minListen)
	if d.Action == failover.Wait && d.Until.IsZero() {
		return time.Time{}, false
	}
	if d.Action != failover.Wait || d.Until.Before(soonest) {
		return soonest, true
	}
	return d.Until, true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
