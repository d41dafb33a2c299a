package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"celeryport/delivery"
	"celeryport/socket"
)

// heldConns are connections that have been closed on this side, but whose callers' hosts have not acknowledged the last
// answer yet. The kernel goes on sending it after a close, but not after the end of the machine, which may follow that of
// the process.
type heldConns struct {
	stopping func() bool
	over     atomic.Bool // the shutdown leaves no more time
	open     atomic.Int64
}

// close closes a connection once its answer has been acknowledged, within the limits of delivery.Held. It does not wait
// for that.
func (h *heldConns) close(conn net.Conn) error {
	half, ok := conn.(interface{ CloseWrite() error })
	if outstanding, known := socket.OutstandingOf(conn); !ok || !known || outstanding.Bytes == 0 || outstanding.Gone {
		return conn.Close()
	}
	if half.CloseWrite() != nil { // the connection has failed
		return conn.Close()
	}
	h.open.Add(1)
	go h.hold(conn)
	return nil
}

func (h *heldConns) hold(conn net.Conn) {
	defer h.open.Add(-1)
	defer func() { _ = conn.Close() }() // nothing is left to be done with it
	began := time.Now()
	for {
		held := h.stateOf(conn, began)
		wait := held.CheckAfter()
		if wait == 0 {
			return
		}
		until := time.Now().Add(wait)
		if conn.SetReadDeadline(until) == nil {
			discard(conn) // a close with unread bytes resets the connection
		}
		time.Sleep(time.Until(until))
	}
}

func (h *heldConns) stateOf(conn net.Conn, began time.Time) delivery.Held {
	outstanding, _ := socket.OutstandingOf(conn) // none if it is not known
	return delivery.Held{
		Unacknowledged: max(0, outstanding.Bytes-1), // the end of the stream counts as one, and is acknowledged last
		Gone:           outstanding.Gone, Stopping: h.stopping(), Over: h.over.Load(), For: time.Since(began),
	}
}

// await waits until no connection is held or ctx ends, and returns how many still were.
func (h *heldConns) await(ctx context.Context) int {
	count := func() int { return int(h.open.Load()) }
	awaitZero(ctx, count)
	h.over.Store(true)
	return count()
}
