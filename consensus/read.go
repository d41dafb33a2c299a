package consensus

import "time"

type pendingRead struct {
	context uint64
	round   uint64 // the read is answered once a majority has confirmed this round
}

// ReadIndex requests the index at which a read reflects everything accepted
// before the call. The result is a ReadState with the same context, returned
// once a majority has confirmed a heartbeat sent after the call. A deposed
// leader that does not know it yet therefore never answers. Reads that are
// pending when the leader steps down are not answered.
func (n *Node) ReadIndex(now time.Time, context uint64) error {
	n.startTimers(now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.log.commit < n.leadership.termStart {
		return refuse(RefusedTermStart)
	}
	r := &n.leadership.rounds
	n.leadership.reads = append(n.leadership.reads, pendingRead{context, r.last() + 1})
	if r.confirmed == r.last() {
		n.heartbeat(now)
	}
	return nil
}

// answerReads answers the reads whose rounds are confirmed. Reads that arrive
// while a round is in progress share the next round.
func (n *Node) answerReads(now time.Time) {
	r := &n.leadership.rounds
	for len(n.leadership.reads) > 0 && n.leadership.reads[0].round <= r.confirmed {
		n.reads = append(n.reads, ReadState{Context: n.leadership.reads[0].context, Index: n.log.commit})
		n.leadership.reads = n.leadership.reads[1:]
	}
	if len(n.leadership.reads) > 0 && n.leadership.reads[0].round > r.last() && r.confirmed == r.last() {
		n.heartbeat(now)
	}
}
