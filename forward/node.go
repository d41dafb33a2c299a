package forward

import (
	"fmt"
	"time"

	"celeryport/loadshare"
	"celeryport/throttle"
	"celeryport/upstream"
)

// start names one incarnation of an upstream. An upstream may start again under the
// name that it had; what was known of its former start says nothing of the new one.
type start struct {
	name        string
	incarnation uint64
}

func startOf(a *upstream.Announcement) start { return start{name: a.Name, incarnation: a.Incarnation} }

// key returns the key under which the loads of the start are reported.
func (s start) loadKey() loadshare.Key {
	return loadshare.KeyOf(fmt.Sprintf("%s/%d", s.name, s.incarnation))
}

// node is one incarnation of an upstream.
type node struct {
	start
	address   string
	zone      string
	service   string
	key       loadshare.Key
	announced time.Time // when it was heard of last before it became known here
	idle      []*upstreamConn
	busy      map[*upstreamConn]struct{} // connections with a call on them
	load      loadshare.Load             // under way from here, but for the reading
	reading   map[*work]time.Time        // until when it reads parts of prompts sent from here
	replaced  bool                       // another incarnation answers at the address
	suspicion suspicion
	answered  time.Time // last good answer to a call from here
	failedAt  time.Time // last failure of its own on a call from here, zero after a good answer
	report    nodeReport
	granted   []grant
	broken    []brokenSend  // sends that broke off, until it is checked whether the node has ended
	checked   chan struct{} // closed when that is known
	rest      throttle.Rest // that it asked this instance for
	trial     *work         // that finds out whether it accepts requests after its rest, nil if none does
	leavingAt time.Time     // when it first said in an answer that it leaves, zero if it did not
	unreadAt  time.Time     // when a statement that can't be read was logged last
}

// nodeReport is what a node said when this instance polled it.
type nodeReport struct {
	polledAt time.Time
	heardAt  time.Time // zero: it did not answer
	lostAt   time.Time // when it did not answer, zero: it always did
	pace     int       // as in loadshare.Load
}

// own returns what this instance has under way at the node.
func (n *node) own(now time.Time) loadshare.Load {
	load := n.load
	for _, end := range n.reading {
		load.PrefillTime = max(load.PrefillTime, end.Sub(now))
	}
	if n.suspicion.holds(now) {
		load.Suspicions = 1
	}
	if now.Sub(n.failedAt) < failureKept || n.replaced || n.unwilling(now) != nil {
		load.Failing = 1
	}
	if now.Sub(n.report.heardAt) < reportKept {
		load.Pace = n.report.pace
	}
	return load
}
