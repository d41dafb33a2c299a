package forward

import (
	"fmt"
	"time"

	"celeryport/failover"
	"celeryport/keepalive"
	"celeryport/loadshare"
	"celeryport/outlier"
	"celeryport/recovery"
	"celeryport/throttle"
	"celeryport/upstream"
)

// incarnationID identifies one incarnation of an upstream. An upstream may restart under the
// same name; what was known of an earlier incarnation does not apply to the new one.
type incarnationID struct {
	name        string
	incarnation uint64
}

func incarnationOf(a *upstream.Announcement) incarnationID {
	return incarnationID{name: a.Name, incarnation: a.Incarnation}
}

// loadKey returns the key under which the loads of the incarnation are reported.
func (s incarnationID) loadKey() loadshare.Key {
	return loadshare.KeyOf(fmt.Sprintf("%s/%d", s.name, s.incarnation))
}

// node is the state of one incarnation of an upstream.
type node struct {
	incarnationID
	address            string
	zone               string
	service            string
	key                loadshare.Key
	startedAt          time.Time // when this instance first saw it, zero if it may have run before
	announced          time.Time // time of its last announcement when the node was created
	heardAt            time.Time // time of its last announcement
	freshUntil         time.Time // as in upstream.Upstream
	idle               []*upstreamConn
	busy               map[*upstreamConn]struct{} // connections with a call on them
	load               loadshare.Load             // load caused by this instance except for reading
	reading            map[*work]time.Time        // until when it reads parts of prompts sent by this instance
	replaced           bool                       // another incarnation answers at the address
	replacedAt         time.Time                  // when that was first known
	suspicion          suspicion
	reachability       failover.Reachability
	checking           <-chan struct{} // closed when the check whether it accepts connections has ended; nil if none runs
	triedAt            time.Time       // when the last of these began
	answered           time.Time       // last successful answer to a call of this instance
	failedAt           time.Time       // last call of this instance that it failed itself, zero after a successful answer
	report             nodeReport
	signRequest        *signRequest // the last one, nil if there was none
	granted            []grant
	broken             []brokenSend  // broken sends not yet checked for the end of the node
	checked            chan struct{} // closed when that check is finished
	endCheck           *endCheck     // the last one that was begun, nil if none was
	nextEndCheck       *endCheck     // not begun yet, nil if none is wanted
	doubtedAt          time.Time     // since when any instance suspects it, zero if none does
	endedAt            time.Time     // when its process was last found to have ended, zero if never
	rest               throttle.Rest // rest period that it asked this instance for
	probe              *work         // send that probes whether it accepts requests after its rest period, or nil
	leavingAt          time.Time     // when an answer first stated that it leaves, zero if none did
	cold               coldTime
	unparsableLoggedAt time.Time // when an unparsable statement was last logged
	detector           *outlier.Detector
	keepAlive          keepalive.Limit // of its idle connections, for calls
	verdict            outlier.Verdict // how it may be used, as of the last placement
}

// nodeReport is the result of this instance's polls of a node.
type nodeReport struct {
	polledAt   time.Time
	answeredAt time.Time // time of the last answer; zero if the last poll failed
	failedAt   time.Time // time of the last failed poll; zero if none failed
	pace       int       // as in loadshare.Load
	residual   recovery.Residual
}

// ownLoad returns the load that this instance reports for the node: what it causes itself, and the
// residual load.
func (n *node) ownLoad(now time.Time) loadshare.Load {
	load := n.load
	for _, end := range n.reading {
		load.PrefillTime = max(load.PrefillTime, end.Sub(now))
	}
	if n.suspicion.active(now) {
		load.Suspicions = 1
	}
	if now.Sub(n.failedAt) < failureRetention || n.replaced || n.unavailable(now) != nil {
		load.Failing = 1
	}
	load.Doubts = n.doubts(now)
	if now.Sub(n.report.answeredAt) < reportRetention {
		load.Pace = n.report.pace
	}
	residual := n.report.residual.Confirmed(now)
	load.Streams, load.Held = load.Streams+residual.Streams, load.Held+residual.Held
	return load
}
